/*
 * Reads a declarative configuration file, which holds a level's settings and, by name, its descendants.
 */
import { readFile } from "node:fs/promises";
import { getErrorMessage } from "../../errors";
import { parseJsonText } from "../../settings/validation";
import { ConfigurationFileOutcome } from "./ConfigurationFileOutcome";
import { parseConfigurationFile } from "./parseConfigurationFile";
import { rootLevelPath } from "./rootLevelPath";

/**
 * Reads and validates a configuration file.
 * @param path - The file's path.
 * @param levelPath - The path of the file's top level; the root if absent.
 */
export async function readConfigurationFile(
    path: string,
    levelPath: string = rootLevelPath,
): Promise<ConfigurationFileOutcome> {
    let text: string;
    try {
        text = await readFile(path, "utf8");
    }
    catch (error) {
        return { kind: "unreadable", reason: getErrorMessage(error) };
    }
    const parsed = parseJsonText(text);
    if (parsed.kind === "invalid") {
        return { kind: "invalid", problems: [parsed.problem] };
    }
    return parseConfigurationFile(parsed.value, levelPath);
}
