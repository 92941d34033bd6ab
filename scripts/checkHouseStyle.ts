/*
 * Checks the rules of the house that the linter can't express: each module opens with prose; a file exports one thing
 * that bears the file's name and has a doc comment; identifiers use the words of the house; a folder has a barrel, and
 * a barrel names what exists. Generated code is left out.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";

const exportPattern = /^export (?:async )?(?:function\*?|const|enum|interface|type|abstract class|class) (\w+)/gm;
const barrelLinePattern = /^export \* from "\.\/([^"]+)";$/;
const commentPattern = /\/\*[\s\S]*?\*\/|\/\/[^\n]*/g;
const stringPattern = /"(?:[^"\\\n]|\\.)*"|`(?:[^`\\]|\\.)*`/g;
/** Words that the house has others for: data centre, workspace, backend server, sidecar. */
const replacedTermPattern = /\b\w*(?:zone|customer|tenant|back_?end_?host|companion)\w*\b/gi;
/** Names that leave the process, where the sidecar is called "companion", and fields that mirror them. */
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
/** Translates the platform's words, and so must name them. */
const platformFolder = "platform/";
const barrelName = "index";
const entryPointName = "main";

/** Gets every TypeScript file below a folder. */
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

/** Gets the violations of one file, a sentence each. */
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

/** Checks that a module opens with prose. */
function getModuleCommentViolations(text: string): string[] {
    return text.startsWith("/*\n") ? [] : ["has no prose at its head"];
}

/** Checks that identifiers use the words of the house. */
function getTerminologyViolations(text: string): string[] {
    const code = text.replace(commentPattern, "").replace(stringPattern, "");
    const words = new Set(code.match(replacedTermPattern) ?? []);
    return [...words].filter(word => !externalNames.has(word)).map(word =>
        `names ${word}, for which the house has another word`
    );
}

/** Checks that a barrel re-exports whole modules that exist, each once. */
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

/** Checks that a module exports one thing, under its own name and with a doc comment. */
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

/** Checks that a folder with modules has a barrel. */
function getFolderViolations(paths: readonly string[]): string[] {
    const folders = new Set(paths.filter(path => !programFiles.has(path)).map(dirname));
    return [...folders]
        .filter(folder => !existsSync(join(folder, `${barrelName}.ts`)))
        .map(folder => `${folder} has no barrel`);
}

/** The folders that keep the rules. */
const checkedFolders = ["src", "platform"];
/** Programs, which export nothing. */
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
