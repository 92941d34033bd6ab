/*
 * The file operations that durable storage needs; tests replace them with a fake disk.
 */
import { StorageFile } from "./StorageFile";

/** The file system of durable storage; errors are thrown unchanged. */
export interface StorageFileSystem {
    /** Creates a folder and its parents unless they exist. */
    createFolder(path: string): Promise<void>;
    /** Gets the names of the files in a folder. */
    listFolder(path: string): Promise<readonly string[]>;
    /** Flushes a folder's list of names to disk, so that created, renamed and removed files survive a crash. */
    syncFolder(path: string): Promise<void>;
    /** Gets a file's content; undefined if the file doesn't exist. */
    readFile(path: string): Promise<Uint8Array | undefined>;
    /** Opens a file for appending, and creates it unless it exists. */
    openFile(path: string): Promise<StorageFile>;
    /** Renames a file, and replaces any file that has the new name. */
    rename(fromPath: string, toPath: string): Promise<void>;
    /**
     * Creates a hard link to a file.
     * @param fromPath - The path of the existing file.
     * @param toPath - The path of the link.
     * @returns Whether the link was created; false if its path already exists.
     */
    link(fromPath: string, toPath: string): Promise<boolean>;
    /** Removes a file if it exists. */
    remove(path: string): Promise<void>;
}
