/*
 * Loads the settings of an instance: one JSON file, and variables of the environment over it.
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
 * Loads and checks the settings of an instance.
 * @param path - The file's path; relative paths inside it go from its folder.
 * @param environment - The variables that replace settings.
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
