/*
 * Computes one step of inheritance: merges a level's own settings into the settings in force at its parent.
 */
import { createNullPrototypeObject } from "./createNullPrototypeObject";
import { EffectiveSettings } from "./EffectiveSettings";
import { formatSettingName } from "./formatSettingName";
import { getLevelKind } from "./getLevelKind";
import { getSettingUnits } from "./getSettingUnits";
import { LevelKind } from "./LevelKind";
import { LevelSettings } from "./LevelSettings";
import { RequestLimits } from "./RequestLimits";

const defaultShareWeight = 1;

/**
 * Computes the settings in force at a level. The origins are computed on access, since only operators read them.
 * @param level - The level's path.
 * @param own - The settings that the level itself sets.
 * @param parent - The settings in force at the parent level; undefined for the root.
 */
export function computeEffectiveSettings(
    level: string,
    own: LevelSettings,
    parent: EffectiveSettings | undefined,
): EffectiveSettings {
    const values = mergeValues(own, parent?.values);
    return {
        values,
        get origins() {
            return mergeOrigins(level, own, parent?.origins);
        },
        limitsByLevel: getLimitsByLevel(level, own, values, parent),
        shareWeights: getShareWeights(level, values, parent),
    };
}

/** Overrides the inherited units by a level's own; groups that the level does not change are shared, not copied. */
function mergeValues(own: LevelSettings, inheritedValues: LevelSettings = {}): LevelSettings {
    const values: Record<string, unknown> = { ...inheritedValues };
    const copiedGroups = new Set<string>();
    for (const { group, entry, value } of getSettingUnits(own)) {
        if (entry === undefined) {
            values[group] = value;
            continue;
        }
        if (!copiedGroups.has(group)) {
            copiedGroups.add(group);
            values[group] = copyGroup(group, values[group]);
        }
        (values[group] as Record<string, unknown>)[entry] = value;
    }
    return values as LevelSettings;
}

/** Copies a group. In all groups but `limits`, names from callers are looked up, so that the copy has no prototype. */
function copyGroup(group: string, entries: unknown): object {
    return group === "limits"
        ? { ...entries as RequestLimits }
        : createNullPrototypeObject(Object.entries(entries ?? {}));
}

/** Replaces the inherited origins by the level's path for the units that the level sets. */
function mergeOrigins(
    level: string,
    own: LevelSettings,
    inheritedOrigins: EffectiveSettings["origins"] = {},
): EffectiveSettings["origins"] {
    const origins = createNullPrototypeObject(Object.entries(inheritedOrigins));
    for (const { group, entry } of getSettingUnits(own)) {
        origins[formatSettingName(entry === undefined ? [group] : [group, entry])] = level;
    }
    return origins;
}

/**
 * Gets the limits that all apply together. The workspace's limits include those that it inherits from the root. A lower
 * level adds only its own limits, since inherited limits are already enforced at the level that they come from.
 */
function getLimitsByLevel(
    level: string,
    own: LevelSettings,
    values: LevelSettings,
    parent: EffectiveSettings | undefined,
): EffectiveSettings["limitsByLevel"] {
    const kind = getLevelKind(level);
    if (kind === undefined || kind === LevelKind.Root) {
        return [];
    }
    const limits = kind === LevelKind.Workspace ? values.limits : own.limits;
    const parentLimits = parent?.limitsByLevel ?? [];
    return hasLimit(limits) ? [...parentLimits, { level, limits }] : parentLimits;
}

function hasLimit(limits: RequestLimits | undefined): limits is RequestLimits {
    return limits !== undefined && Object.keys(limits).length > 0;
}

function getShareWeights(
    level: string,
    values: LevelSettings,
    parent: EffectiveSettings | undefined,
): EffectiveSettings["shareWeights"] {
    const weight = values.shareWeight ?? defaultShareWeight;
    const kind = getLevelKind(level);
    const isWorkspaceOrAbove = kind === undefined || kind === LevelKind.Root || kind === LevelKind.Workspace;
    return { workspace: isWorkspaceOrAbove ? weight : parent?.shareWeights.workspace ?? weight, subscriber: weight };
}
