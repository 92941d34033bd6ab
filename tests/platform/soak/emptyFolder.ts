/*
 * Empties a folder, as the loss of a disk does.
 */
import { readdirSync, rmSync } from "node:fs";
import { join } from "node:path";

/** Removes all files and folders in a folder. */
export function emptyFolder(folder: string): void {
    readdirSync(folder).forEach(name => rmSync(join(folder, name), { recursive: true }));
}
