/*
 * Applies environment variables to the parsed settings, before the settings are validated.
 */
import { Environment } from "./Environment";
import { EnvironmentOverride } from "./EnvironmentOverride";
import { getEnvironmentOverrides } from "./getEnvironmentOverrides";
import { getNearestName, JsonSchema, ValueProblem } from "./validation";

const settingVariablePrefix = "BASILWING_";
/** The prefix of variables for the operators' commands, which are not instance settings. */
const commandVariablePrefix = "BASILWING_OPERATOR_";

/**
 * Overrides settings with environment variables.
 * @param settings - The parsed settings; changed in place.
 * @param environment - The environment variables of the process.
 * @returns A problem for each variable that has the prefix of settings but matches no setting.
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
            // The schema validation reports that this value is not an object.
            return;
        }
        parent = child;
    }
    parent[path.at(-1)!] = parseText(text, schema);
}

/** Converts a variable's text to the setting's type; other text is kept, and the schema validation reports it. */
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
