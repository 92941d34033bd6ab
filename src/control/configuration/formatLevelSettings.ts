/*
 * Formats a level's settings as canonical JSON, which is the same at every control member.
 */
import { isSettingGroup } from "./isSettingGroup";
import { LevelSettings } from "./LevelSettings";

/**
 * Formats a level's settings as JSON with sorted names; groups without entries are omitted.
 * @param settings - The settings, which must be valid.
 */
export function formatLevelSettings(settings: LevelSettings): string {
    const entries = Object.entries(settings).filter(([name, value]) => {
        return !isSettingGroup(name) || Object.keys(value as object).length > 0;
    });
    return JSON.stringify(sortNames(Object.fromEntries(entries)));
}

/** Copies a value with the names in all objects sorted. Valid settings are nested only a few levels deep. */
function sortNames(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(sortNames);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    const names = Object.keys(value).sort();
    return Object.fromEntries(names.map(name => [name, sortNames((value as Record<string, unknown>)[name])]));
}
