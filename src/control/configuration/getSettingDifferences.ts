/*
 * Compares the states of levels before and after changes, setting by setting.
 */
import { compareLevelPaths } from "./compareLevelPaths";
import { formatSettingName } from "./formatSettingName";
import { getSettingUnits } from "./getSettingUnits";
import { LevelChange } from "./LevelChange";
import { LevelSettings } from "./LevelSettings";
import { SettingDifference } from "./SettingDifference";

/**
 * Gets the settings that changes modify, sorted by level and setting.
 * @param changes - The changes, at most one for each level.
 */
export function getSettingDifferences(changes: readonly LevelChange[]): readonly SettingDifference[] {
    const sorted = [...changes].sort((first, second) => compareLevelPaths(first.level, second.level));
    return sorted.flatMap(getLevelDifferences);
}

function getLevelDifferences(change: LevelChange): readonly SettingDifference[] {
    const { level } = change;
    const before = getValuesByName(change.before);
    const after = getValuesByName(change.after);
    const differences: SettingDifference[] = [];
    if (change.before === undefined && change.after !== undefined && after.size === 0) {
        differences.push({ level, setting: "", after: {} });
    }
    if (change.before !== undefined && change.after === undefined && before.size === 0) {
        differences.push({ level, setting: "", before: {} });
    }
    const names = [...new Set([...before.keys(), ...after.keys()])].sort();
    for (const setting of names) {
        const difference = { level, setting, before: before.get(setting), after: after.get(setting) };
        if (JSON.stringify(difference.before) !== JSON.stringify(difference.after)) {
            differences.push(difference);
        }
    }
    return differences;
}

/** Gets the values of a level's settings, by dotted name. */
function getValuesByName(json: string | undefined): ReadonlyMap<string, unknown> {
    if (json === undefined) {
        return new Map();
    }
    const units = getSettingUnits(JSON.parse(json) as LevelSettings);
    return new Map(units.map(unit => {
        const parts = unit.entry === undefined ? [unit.group] : [unit.group, unit.entry];
        return [formatSettingName(parts), unit.value];
    }));
}
