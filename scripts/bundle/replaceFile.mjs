// Writes files that programs may be reading at the same time.
import { renameSync, writeFileSync } from "node:fs";

/**
 * Writes a file under a temporary name and renames it, so that no reader finds a part of it.
 * @param path - The path of the file.
 * @param contents - Its contents.
 */
export function replaceFile(path, contents) {
    const temporaryPath = `${path}.${process.pid}.tmp`;
    writeFileSync(temporaryPath, contents);
    renameSync(temporaryPath, path);
}
