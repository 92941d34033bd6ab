/*
 * The few operations on files that durable storage needs; tests put a disk fake here.
 */
import { StorageFile } from "./StorageFile";

/** The file system beneath durable storage; failures of the system are thrown as they come. */
export interface StorageFileSystem {
    /** Creates a folder, and those above it, where missing. */
    createFolder(path: string): Promise<void>;
    /** Gets the names of a folder's files. */
    listFolder(path: string): Promise<readonly string[]>;
    /** Waits until a folder's names are on the disk. */
    syncFolder(path: string): Promise<void>;
    /** Gets a file's content; undefined where there is no such file. */
    readFile(path: string): Promise<Uint8Array | undefined>;
    /** Opens a file for writing at its end, and creates it where missing. */
    openFile(path: string): Promise<StorageFile>;
    /** Gives a file another name, replacing the file of that name. */
    rename(fromPath: string, toPath: string): Promise<void>;
    /**
     * Gives a file a second name.
     * @returns Whether the name was free.
     */
    link(fromPath: string, toPath: string): Promise<boolean>;
    /** Removes a file, where it exists. */
    remove(path: string): Promise<void>;
}
