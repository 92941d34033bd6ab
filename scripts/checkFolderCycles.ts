/*
 * Checks that the folders of src don't import each other in circles: a folder that is part of one can be neither read nor
 * used without all of the others. Generated code is not checked.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize, sep } from "node:path";

const sourceFolder = "src";
const importPattern = /from "(\.[^"]*)"/g;

/** Gets the folders that the files of each folder import. */
function getImportedFolders(): Map<string, Set<string>> {
    const imported = new Map<string, Set<string>>();
    for (const path of getSourceFiles(sourceFolder)) {
        const folder = getFolder(path);
        for (const [, target] of readFileSync(path, "utf8").matchAll(importPattern)) {
            const targetFolder = getFolder(normalize(join(dirname(path), target!)));
            if (folder !== undefined && targetFolder !== undefined && targetFolder !== folder) {
                imported.set(folder, (imported.get(folder) ?? new Set<string>()).add(targetFolder));
            }
        }
    }
    return imported;
}

/** Gets the folder directly below src that a file or folder belongs to; undefined for a file directly in src. */
function getFolder(path: string): string | undefined {
    const [root, folder, ...rest] = path.split(sep);
    return root === sourceFolder && (rest.length > 0 || !folder?.endsWith(".ts")) ? folder : undefined;
}

function getSourceFiles(folder: string): string[] {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return entry.name === "generated" ? [] : getSourceFiles(path);
        }
        return entry.name.endsWith(".ts") ? [path] : [];
    });
}

/** Finds a path of imports from a folder back to itself; undefined where there is none. */
function findCycle(start: string, imported: ReadonlyMap<string, ReadonlySet<string>>): string[] | undefined {
    const visited = new Set<string>();
    const pending = [[start]];
    for (let path = pending.shift(); path !== undefined; path = pending.shift()) {
        for (const next of imported.get(path.at(-1)!) ?? []) {
            if (next === start) {
                return [...path, start];
            }
            if (!visited.has(next)) {
                visited.add(next);
                pending.push([...path, next]);
            }
        }
    }
    return undefined;
}

const imported = getImportedFolders();
const cycles = [...imported.keys()].flatMap(folder => findCycle(folder, imported)?.join(" -> ") ?? []);
cycles.forEach(cycle => console.error(`circle of imports: ${cycle}`));
console.log(`folder imports: ${imported.size} folders, ${cycles.length} in circles`);
process.exitCode = cycles.length > 0 ? 1 : 0;
