/*
 * Checks that a path names a folder.
 */
import { stat } from "node:fs/promises";
import { hasErrorCode } from "../errors";

/** Returns whether a path is an accessible folder. */
export async function isFolder(path: string): Promise<boolean> {
    try {
        return (await stat(path)).isDirectory();
    }
    catch (thrown) {
        if (hasErrorCode(thrown, "ENOENT", "ENOTDIR", "EACCES")) {
            return false;
        }
        throw thrown;
    }
}
