/*
 * Puts the values of variables in the place of settings, before the settings are checked.
 */
import { Environment } from "./Environment";
import { EnvironmentOverride } from "./EnvironmentOverride";
import { getEnvironmentOverrides } from "./getEnvironmentOverrides";
import { getNearestName, JsonSchema, ValueProblem } from "./validation";

const settingVariablePrefix = "BASILWING_";
/** Variables of the operators' commands, which are not settings of an instance. */
const commandVariablePrefix = "BASILWING_OPERATOR_";

/**
 * Replaces settings by variables.
 * @param settings - The parsed settings; changed in place.
 * @returns A problem for each variable that looks like a setting's and is none.
 */
export function applyEnvironmentOverrides(settings: unknown, environment: Environment): readonly ValueProblem[] {
    const overrides = getEnvironmentOverrides();
    if (isObject(settings)) {
        overrides.forEach(override => applyOverride(settings, override, environment[override.variable]));
    }
    const knownVariables = overrides.map(override => override.variable);
    return Object.keys(environment)
        .filter(name => name.startsWith(settingVariablePrefix) && !name.startsWith(commandVariablePrefix))
        .filter(name => !knownVariables.includes(name))
        .map(name => createUnknownVariableProblem(name, knownVariables));
}

function createUnknownVariableProblem(name: string, knownVariables: readonly string[]): ValueProblem {
    return {
        path: `environment variable ${name}`,
        found: "an unknown variable",
        expected: `${settingVariablePrefix} with a setting's name`,
        nearest: getNearestName(name, knownVariables),
    };
}

function applyOverride(
    settings: Record<string, unknown>,
    { path, schema }: EnvironmentOverride,
    text: string | undefined,
): void {
    if (text === undefined) {
        return;
    }
    let parent = settings;
    for (const name of path.slice(0, -1)) {
        parent[name] ??= {};
        const child = parent[name];
        if (!isObject(child)) {
            // The schema's check tells that this value is no object.
            return;
        }
        parent = child;
    }
    parent[path.at(-1)!] = parseText(text, schema);
}

/** Reads a variable's text as the setting's type; text that does not fit stays text, which the check then tells of. */
function parseText(text: string, schema: JsonSchema): unknown {
    switch (schema.type) {
        case "integer":
        case "number":
            return text.trim() === "" || Number.isNaN(Number(text)) ? text : Number(text);
        case "boolean":
            return text === "true" || text === "false" ? text === "true" : text;
        case "array":
            return text.split(",").map(item => item.trim()).filter(item => item !== "");
        default:
            return text;
    }
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
