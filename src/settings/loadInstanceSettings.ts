/*
 * Loads the settings of an instance from a JSON file, with overrides from environment variables.
 */
import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import { getErrorMessage } from "../errors";
import { checkInstanceSettings } from "./checkInstanceSettings";
import { Environment } from "./Environment";
import { resolveSettingsPaths } from "./resolveSettingsPaths";
import { SettingsLoadOutcome } from "./SettingsLoadOutcome";
import { parseJsonText } from "./validation";

/**
 * Loads and validates the settings of an instance.
 * @param path - The file's path; relative paths in the file are resolved against its folder.
 * @param environment - The environment variables that override settings.
 */
export async function loadInstanceSettings(path: string, environment: Environment): Promise<SettingsLoadOutcome> {
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
    const outcome = checkInstanceSettings(parsed.value, environment);
    if (outcome.kind !== "loaded") {
        return outcome;
    }
    return { kind: "loaded", settings: resolveSettingsPaths(outcome.settings, dirname(resolve(path))) };
}
