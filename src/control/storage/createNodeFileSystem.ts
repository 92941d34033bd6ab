/*
 * The machine's file system, accessed with node:fs.
 */
import { link as linkFile, mkdir, open, readdir, readFile as readWholeFile, rename, rm } from "node:fs/promises";
import { hasErrorCode } from "../../errors";
import { StorageFile } from "./StorageFile";
import { StorageFileSystem } from "./StorageFileSystem";

/**
 * Creates the file system of the machine.
 * @param options - Whether the file system supports hard links; if not, linking copies the file.
 */
export function createNodeFileSystem(
    options: { supportsHardLinks: boolean; } = { supportsHardLinks: true },
): StorageFileSystem {
    return { createFolder, listFolder: path => readdir(path), syncFolder, readFile, openFile, rename, link, remove };

    async function createFolder(path: string): Promise<void> {
        await mkdir(path, { recursive: true });
    }

    async function syncFolder(path: string): Promise<void> {
        const folder = await open(path, "r");
        try {
            await folder.sync();
        }
        finally {
            await folder.close();
        }
    }

    async function readFile(path: string): Promise<Uint8Array | undefined> {
        try {
            return await readWholeFile(path);
        }
        catch (thrown) {
            if (hasErrorCode(thrown, "ENOENT")) {
                return undefined;
            }
            throw thrown;
        }
    }

    async function openFile(path: string): Promise<StorageFile> {
        const file = await open(path, "a");
        return {
            append: data => file.appendFile(data),
            sync: () => file.sync(),
            truncate: byteCount => file.truncate(byteCount),
            close: () => file.close(),
        };
    }

    async function link(fromPath: string, toPath: string): Promise<boolean> {
        try {
            await (options.supportsHardLinks ? linkFile(fromPath, toPath) : copyToNewFile(fromPath, toPath));
            return true;
        }
        catch (thrown) {
            if (hasErrorCode(thrown, "EEXIST")) {
                return false;
            }
            throw thrown;
        }
    }

    async function remove(path: string): Promise<void> {
        await rm(path, { force: true });
    }
}

/** Copies a file to a path that must not exist yet; readers treat a copy that a crash left incomplete as empty. */
async function copyToNewFile(fromPath: string, toPath: string): Promise<void> {
    const content = await readWholeFile(fromPath);
    const file = await open(toPath, "wx");
    try {
        await file.appendFile(content);
        await file.sync();
    }
    finally {
        await file.close();
    }
}
