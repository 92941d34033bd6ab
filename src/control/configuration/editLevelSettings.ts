/*
 * Sets or unsets one value in a level's settings. The given settings are not modified.
 */
import { formatValueProblem, parseJsonText } from "../../settings/validation";
import { configurationLimits } from "./configurationLimits";
import { LevelSettings } from "./LevelSettings";
import { parseSettingName } from "./parseSettingName";
import { SettingEditOutcome } from "./SettingEditOutcome";

type PlainObject = Readonly<Record<string, unknown>>;

/**
 * Edits a level's settings.
 * @param settings - The level's current settings.
 * @param settingName - The setting's dotted name; empty for the whole level.
 * @param json - The value as JSON; undefined to unset it.
 * @returns The new settings, or the problem if the operation can't be applied.
 */
export function editLevelSettings(
    settings: LevelSettings,
    settingName: string,
    json: string | undefined,
): SettingEditOutcome {
    const maximum = configurationLimits.maximumValueCharacters;
    if (json !== undefined && json.length > maximum) {
        return { kind: "invalid", problem: `the value has ${json.length} characters, the most is ${maximum}` };
    }
    if (settingName === "") {
        return replaceSettings(json);
    }
    const parts = parseSettingName(settingName);
    if (parts === undefined) {
        return { kind: "invalid", problem: `${JSON.stringify(settingName.slice(0, 80))} is no setting's name` };
    }
    if (json === undefined) {
        return { kind: "edited", settings: removeValue(settings as PlainObject, parts) as LevelSettings };
    }
    const parsed = parseJsonText(json);
    if (parsed.kind === "invalid") {
        return { kind: "invalid", problem: formatValueProblem({ ...parsed.problem, path: settingName }) };
    }
    return setValue(settings as PlainObject, parts, parsed.value);
}

function replaceSettings(json: string | undefined): SettingEditOutcome {
    if (json === undefined) {
        return { kind: "invalid", problem: "the setting's name is missing" };
    }
    const parsed = parseJsonText(json);
    if (parsed.kind === "invalid") {
        return { kind: "invalid", problem: formatValueProblem(parsed.problem) };
    }
    if (!isPlainObject(parsed.value)) {
        return { kind: "invalid", problem: "a level's settings must be an object" };
    }
    return { kind: "edited", settings: parsed.value as LevelSettings };
}

function setValue(settings: PlainObject, parts: readonly string[], value: unknown): SettingEditOutcome {
    const container = getContainer(settings, parts);
    if (container === undefined) {
        return { kind: "invalid", problem: `${parts.join(".")} stands inside a value that is not an object` };
    }
    return { kind: "edited", settings: copyWithValue(settings, parts, value) as LevelSettings };
}

/** Gets the object that contains the last part, empty if it does not exist; undefined if a part is not an object. */
function getContainer(settings: PlainObject, parts: readonly string[]): PlainObject | undefined {
    let container: unknown = settings;
    for (const part of parts.slice(0, -1)) {
        if (!Object.hasOwn(container as PlainObject, part)) {
            return {};
        }
        container = (container as PlainObject)[part];
        if (!isPlainObject(container)) {
            return undefined;
        }
    }
    return container as PlainObject;
}

function copyWithValue(container: PlainObject, parts: readonly string[], value: unknown): PlainObject {
    const [part, ...remainingParts] = parts;
    if (remainingParts.length === 0) {
        return { ...container, [part!]: value };
    }
    const child = Object.hasOwn(container, part!) ? container[part!] as PlainObject : {};
    return { ...container, [part!]: copyWithValue(child, remainingParts, value) };
}

function removeValue(container: PlainObject, parts: readonly string[]): PlainObject {
    const [part, ...remainingParts] = parts;
    if (!Object.hasOwn(container, part!)) {
        return container;
    }
    if (remainingParts.length === 0) {
        const { [part!]: removed, ...others } = container;
        void removed;
        return others;
    }
    const child = container[part!];
    return isPlainObject(child) ? { ...container, [part!]: removeValue(child, remainingParts) } : container;
}

function isPlainObject(value: unknown): value is PlainObject {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
