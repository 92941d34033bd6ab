/*
 * Reads one value from a level's settings.
 */
import { LevelSettings } from "./LevelSettings";
import { parseSettingName } from "./parseSettingName";

/**
 * Gets the value of a setting.
 * @param settings - The settings.
 * @param settingName - The setting's dotted name.
 * @returns The value; undefined if it is not set or the name is invalid.
 */
export function getSettingValue(settings: LevelSettings, settingName: string): unknown {
    let value: unknown = settings;
    for (const part of parseSettingName(settingName) ?? [""]) {
        const isObject = typeof value === "object" && Boolean(value);
        if (!isObject || !Object.hasOwn(value as object, part)) {
            return undefined;
        }
        value = (value as Record<string, unknown>)[part];
    }
    return value;
}
