/*
 * Replaces a file so that a crash leaves either the old content or the new.
 */
import { dirname } from "node:path";
import { StorageFileSystem } from "./StorageFileSystem";
import { temporaryFileSuffix } from "./temporaryFileSuffix";

/**
 * Writes a file under a temporary name, syncs it, renames it and syncs the folder.
 * @param fileSystem - Where the file is.
 * @param path - The file's final name.
 * @param parts - The content, in order.
 */
export async function writeFileAtomically(
    fileSystem: StorageFileSystem,
    path: string,
    parts: readonly Uint8Array[],
): Promise<void> {
    const temporaryPath = path + temporaryFileSuffix;
    await fileSystem.remove(temporaryPath);
    const file = await fileSystem.openFile(temporaryPath);
    try {
        for (const part of parts) {
            await file.append(part);
        }
        await file.sync();
    }
    finally {
        await file.close();
    }
    await fileSystem.rename(temporaryPath, path);
    await fileSystem.syncFolder(dirname(path));
}
