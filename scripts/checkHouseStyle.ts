/*
 * Checks the style rules that the linter can't express: each module begins with a block comment; a file has one export,
 * which has the name of the file and a doc comment; identifiers use the project's terms; each folder has a barrel, and
 * each line of a barrel re-exports an existing module. Generated code is not checked.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";

const exportPattern = /^export (?:async )?(?:function\*?|const|enum|interface|type|abstract class|class) (\w+)/gm;
const barrelLinePattern = /^export \* from "\.\/([^"]+)";$/;
const commentPattern = /\/\*[\s\S]*?\*\/|\/\/[^\n]*/g;
const stringPattern = /"(?:[^"\\\n]|\\.)*"|`(?:[^`\\]|\\.)*`/g;
/** Words in place of which the project uses: data centre, workspace, backend server, sidecar. */
const replacedTermPattern = /\b\w*(?:zone|customer|tenant|back_?end_?host|companion)\w*\b/gi;
/** Names in messages, settings and metrics, where the sidecar is called "companion", and fields with the same names. */
const externalNames = new Set([
    "COMPANION",
    "COMPANION_SET",
    "CompanionService",
    "CompanionSet",
    "CompanionSetChange",
    "CompanionSetChangeSchema",
    "CompanionSetResultSchema",
    "CompanionSetSchema",
    "CompanionSetStateSchema",
    "companion",
    "companionAddress",
    "companionIncarnation",
    "companionSet",
    "companionSetNumber",
]);
/** Converts between the platform's terms and the project's, so its code contains both; not checked for terms. */
const platformFolder = "platform/";
const barrelName = "index";
const entryPointName = "main";

/** Gets the paths of all TypeScript files below a folder, without generated ones. */
function getSourceFiles(folder: string): string[] {
    const entries = readdirSync(folder, { withFileTypes: true });
    return entries.flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return entry.name === "generated" ? [] : getSourceFiles(path);
        }
        return entry.name.endsWith(".ts") ? [path] : [];
    });
}

/** Gets the violations of one file, each as a predicate that follows the file's path. */
function getViolations(path: string): string[] {
    const text = readFileSync(path, "utf8");
    const name = basename(path, ".ts");
    const words = path.startsWith(platformFolder) ? [] : getTerminologyViolations(text);
    const violations = [...getModuleCommentViolations(text), ...words];
    switch (name) {
        case barrelName:
            return [...violations, ...getBarrelViolations(path, text)];
        case entryPointName:
            return violations;
        default:
            return programFiles.has(path) ? violations : [...violations, ...getExportViolations(name, text)];
    }
}

/** Checks that a module begins with a block comment. */
function getModuleCommentViolations(text: string): string[] {
    return text.startsWith("/*\n") ? [] : ["has no prose at its head"];
}

/** Checks that identifiers use the project's terms; comments and strings are not checked. */
function getTerminologyViolations(text: string): string[] {
    const code = text.replace(commentPattern, "").replace(stringPattern, "");
    const words = new Set(code.match(replacedTermPattern) ?? []);
    return [...words].filter(word => !externalNames.has(word)).map(word =>
        `names ${word}, for which the house has another word`
    );
}

/** Checks that a barrel contains only re-exports of whole, existing modules, each once. */
function getBarrelViolations(path: string, text: string): string[] {
    const lines = text.replace(commentPattern, "").split("\n").filter(line => line !== "");
    const names = lines.map(line => barrelLinePattern.exec(line)?.[1]);
    const folder = dirname(path);
    return names.flatMap((name, index) => {
        if (name === undefined) {
            return [`holds "${lines[index]}", which re-exports no module as a whole`];
        }
        if (!existsSync(join(folder, `${name}.ts`)) && !existsSync(join(folder, name, "index.ts"))) {
            return [`re-exports ${name}, which does not exist`];
        }
        return names.indexOf(name) === index ? [] : [`re-exports ${name} twice`];
    });
}

/** Checks that a module has one export, which has the name of the file and a doc comment. */
function getExportViolations(name: string, text: string): string[] {
    const matches = [...text.matchAll(exportPattern)];
    const exportedNames = matches.map(match => match[1]!);
    if (exportedNames.length !== 1) {
        return [`exports ${exportedNames.length} things (${exportedNames.join(", ")}), not one`];
    }
    if (exportedNames[0] !== name) {
        return [`exports ${exportedNames[0]}, which is not the file's name`];
    }
    const before = text.slice(0, matches[0]!.index).trimEnd();
    const comment = before.slice(before.lastIndexOf("/*"));
    return before.endsWith("*/") && comment.startsWith("/**") ? [] : [`exports ${name} without a doc comment`];
}

/** Checks that each folder with modules has a barrel; folders with programs alone need none. */
function getFolderViolations(paths: readonly string[]): string[] {
    const folders = new Set(paths.filter(path => !programFiles.has(path)).map(dirname));
    return [...folders]
        .filter(folder => !existsSync(join(folder, `${barrelName}.ts`)))
        .map(folder => `${folder} has no barrel`);
}

/** The folders that are checked. */
const checkedFolders = ["src", "platform"];
/** Entry points of programs, which export nothing. */
const programFiles = new Set(["platform/entry.ts", "platform/control.ts"]);

const sourceFiles = checkedFolders.flatMap(getSourceFiles);
const violationReports = [
    ...getFolderViolations(sourceFiles),
    ...sourceFiles.flatMap(path => getViolations(path).map(violation => `${path} ${violation}`)),
];
for (const report of violationReports) {
    console.error(report);
}
console.log(`house style: ${violationReports.length} violations`);
process.exitCode = violationReports.length === 0 ? 0 : 1;
