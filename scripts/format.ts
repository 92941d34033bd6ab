/*
 * Formats the source files by the settings in dprint.json, or with `--check` lists those that are not formatted. It calls
 * the formatter's WebAssembly plugin, which runs on every machine that runs Node.
 */
import { createContext } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

interface FormatSettings {
    lineWidth: number;
    indentWidth: number;
    useTabs: boolean;
    newLineKind: "lf";
    /** The settings of the plugin. */
    typescript: Record<string, unknown>;
    /** The extensions of the files that are formatted. */
    extensions: readonly string[];
    /** The folders that are left out, as paths from the root. */
    excludes: readonly string[];
}

const { typescript, extensions, excludes, ...globalSettings }: FormatSettings = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);
const isCheck = process.argv.includes("--check");
const context = createContext(globalSettings);
const plugin = context.addPlugin(readFileSync(getPath()), typescript);
const diagnostics = plugin.getConfigDiagnostics();
diagnostics.forEach(({ propertyName, message }) => console.error(`dprint.json: ${propertyName}: ${message}`));
const unformatted = getSourceFiles("").filter(path => !format(path));
unformatted.forEach(path => console.log(`${isCheck ? "not formatted" : "formatted"}: ${path}`));
if (diagnostics.length > 0 || isCheck && unformatted.length > 0) {
    process.exit(1);
}

/** Formats a file unless the files are only checked; returns whether it was formatted before. */
function format(path: string): boolean {
    const text = readFileSync(path, "utf8");
    const formatted = context.formatText({ filePath: path, fileText: text });
    if (!isCheck && formatted !== text) {
        writeFileSync(path, formatted);
    }
    return formatted === text;
}

function getSourceFiles(folder: string): string[] {
    return readdirSync(folder || ".", { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return entry.name.startsWith(".") || excludes.includes(path) ? [] : getSourceFiles(path);
        }
        return extensions.some(extension => entry.name.endsWith(extension)) ? [path] : [];
    });
}
