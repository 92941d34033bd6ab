/*
 * Splits a level's settings into the units of inheritance.
 */
import { isSettingGroup } from "./isSettingGroup";
import { LevelSettings } from "./LevelSettings";
import { SettingUnit } from "./SettingUnit";

/** Gets the units that a level sets, in the order of its settings. */
export function getSettingUnits(settings: LevelSettings): readonly SettingUnit[] {
    return Object.entries(settings).flatMap(([group, value]: [string, unknown]): SettingUnit[] => {
        if (!isSettingGroup(group)) {
            return [{ group, entry: undefined, value }];
        }
        return Object.entries(value as object).map(([entry, entryValue]) => ({ group, entry, value: entryValue }));
    });
}
