/*
 * Replaces a file atomically: after a crash, it has either the old content or the new.
 */
import { dirname } from "node:path";
import { StorageFileSystem } from "./StorageFileSystem";
import { temporaryFileSuffix } from "./temporaryFileSuffix";

/**
 * Writes a file under a temporary name, syncs it, renames it to its final name and syncs the folder.
 * @param fileSystem - The file system that contains the file.
 * @param path - The file's final path.
 * @param parts - The parts of the content, in order.
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
