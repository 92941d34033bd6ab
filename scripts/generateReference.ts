/*
 * Generates the reference pages of settings and of the configuration from their schemas. With --check, writes nothing and
 * exits with status 1 if a page is out of date.
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { getLevelSettingsSchema } from "../src/control/configuration/getLevelSettingsSchema";
import { LevelKind } from "../src/control/configuration/LevelKind";
import { getEnvironmentOverrides, instanceSettingsSchema } from "../src/settings";
import { describeExpectedValue, JsonSchema } from "../src/settings/validation";

/** One key of a schema, at any depth. */
interface SchemaKey {
    /** The path of the key, with dots between its parts. */
    path: string;
    /** The schema of the key's value. */
    schema: JsonSchema;
    /** Whether the object that contains the key requires it. */
    isRequired: boolean;
}

/** The functions that create the pages, by the path of the page. */
const pages: Readonly<Record<string, () => string>> = {
    "docs/reference/settings.md": createSettingsPage,
    "docs/reference/configuration.md": createConfigurationPage,
};

const isCheckOnly = process.argv.includes("--check");
const stalePages = Object.entries(pages).filter(([path, createPage]) => !updatePage(path, createPage()));
stalePages.forEach(([path]) => console.error(`${path} is out of date; run npm run generate:reference`));
process.exitCode = stalePages.length === 0 ? 0 : 1;

/** Writes a page; with --check, only compares it. Returns whether the page is up to date afterwards. */
function updatePage(path: string, text: string): boolean {
    if (isCheckOnly) {
        return readPage(path) === text;
    }
    mkdirSync(dirname(path), { recursive: true });
    writeFileSync(path, text);
    return true;
}

/** Reads a page; undefined if it can't be read. */
function readPage(path: string): string | undefined {
    try {
        return readFileSync(path, "utf8");
    }
    catch {
        return undefined;
    }
}

/**
 * Gets the keys of a schema and of the objects inside it. Keys with arbitrary names appear as `<name>`, keys of the items
 * of a list after `[]`.
 */
function getKeys(schema: JsonSchema, path: string, isRequired: boolean): readonly SchemaKey[] {
    const ownKeys = path === "" ? [] : [{ path, schema, isRequired }];
    const propertyKeys = Object.entries(schema.properties ?? {}).flatMap(([name, inner]) => {
        return getKeys(inner, path === "" ? name : `${path}.${name}`, schema.required?.includes(name) ?? false);
    });
    const wildcardKeys = typeof schema.additionalProperties === "object"
        ? getKeys(schema.additionalProperties, `${path}.<name>`, false)
        : [];
    const itemKeys = schema.items?.properties === undefined ? [] : getKeys(schema.items, `${path}[]`, false).slice(1);
    return [...ownKeys, ...propertyKeys, ...wildcardKeys, ...itemKeys];
}

/** Creates the row of a key, with further cells at its end. */
function createRow({ path, schema, isRequired }: SchemaKey, ...extraCells: readonly string[]): string {
    const defaultValue = schema.default === undefined || typeof schema.default === "object" ? "" : `${schema.default}`;
    const presence = isRequired ? "required" : defaultValue;
    const cells = [`\`${path}\``, describeExpectedValue(schema), presence, schema.description ?? "", ...extraCells];
    return `| ${cells.map(cell => cell.replaceAll("|", "\\|")).join(" | ")} |`;
}

/** Creates the text of the page on the settings of an instance. */
function createSettingsPage(): string {
    const variables = new Map(getEnvironmentOverrides().map(({ path, variable }) => [path.join("."), variable]));
    const rows = getKeys(instanceSettingsSchema, "", false).map(key => {
        const variable = variables.get(key.path);
        return createRow(key, variable === undefined ? "" : `\`${variable}\``);
    });
    return `${
        [
            "# Settings of an instance",
            "",
            "Generated from the schema by `npm run generate:reference`; `basilwing settings schema` prints the schema itself.",
            "",
            "One JSON file, named by `basilwing run --settings FILE` and checked by `basilwing check FILE`. Unknown keys are",
            "errors. Relative paths go from the file's folder. A variable of the environment replaces a value of the file;",
            "lists are separated by commas. A variable that begins with `BASILWING_` and is no setting's is an error too, but",
            "for `BASILWING_OPERATOR_ADDRESS` and `BASILWING_OPERATOR_TOKEN`, which the operators' commands read.",
            "",
            "Beyond the schema: the role `entry` needs `listeners.callers`; `companion` needs `companion`; `control` needs",
            "`dataFolder` and `listeners.operators`. A listener",
            "off loopback needs `tls` (the internal one may take the process's own) or `allowPlain: true`.",
            "",
            "| Key | Value | Default | Meaning | Variable |",
            "| --- | --- | --- | --- | --- |",
            ...rows,
        ].join("\n")
    }\n`;
}

/** Gets the keys that one kind of level has beyond the keys that all levels share. */
function getUnsharedKeys(kind: LevelKind, sharedKeys: readonly SchemaKey[]): readonly SchemaKey[] {
    const sharedPaths = new Set(sharedKeys.map(key => key.path));
    return getKeys(getLevelSettingsSchema(kind), "", false).filter(key => !sharedPaths.has(key.path));
}

/** Creates the lines of a section with a table of keys. */
function createSection(title: string, keys: readonly SchemaKey[]): readonly string[] {
    const head = ["| Setting | Value | | Meaning |", "| --- | --- | --- | --- |"];
    return ["", `## ${title}`, "", ...head, ...keys.map(key => createRow(key))];
}

/** Creates the text of the page on the configuration tree. */
function createConfigurationPage(): string {
    const sharedKeys = getKeys(getLevelSettingsSchema(LevelKind.Workspace), "", false);
    const sections = [
        ...createSection("Settings of every level", sharedKeys),
        ...createSection("Settings of the root alone", getUnsharedKeys(LevelKind.Root, sharedKeys)),
        ...createSection("Settings of subscribers alone", getUnsharedKeys(LevelKind.Subscriber, sharedKeys)),
    ];
    return `${
        [
            "# The configuration tree",
            "",
            "Generated from the schemas by `npm run generate:reference`; `basilwing settings schema --configuration` prints the",
            "schema of files.",
            "",
            "Levels: `/`, `/workspace`, `/workspace/team`, `/workspace/team/subscriber`. A name begins with a letter or digit",
            "and has up to 64 letters, digits, dots, dashes and underscores. A setting that a level does not set is inherited",
            "from the nearest level above that does. Each entry of `models`, `services` and `rollouts`, and each limit, is",
            "inherited by itself and overridden as a whole. A part of a setting's name with a dot in it stands in quotes:",
            "`models.\"small-1.5\".allowed`.",
            "",
            "A file holds a level as `{ \"settings\": { ... } }` with, by name, the levels below it under `workspaces`, `teams`",
            "and `subscribers`.",
            ...sections,
        ].join("\n")
    }\n`;
}
