/*
 * Derives the environment variables that can override settings from the settings' schema.
 */
import { EnvironmentOverride } from "./EnvironmentOverride";
import { instanceSettingsSchema } from "./instanceSettingsSchema";
import { JsonSchema } from "./validation";

const variablePrefix = "BASILWING";

/**
 * Gets an environment variable for each scalar setting and for each list of strings. Lists are separated by commas;
 * lists of objects have no variable.
 */
export function getEnvironmentOverrides(): readonly EnvironmentOverride[] {
    return collectOverrides(instanceSettingsSchema, []);
}

function collectOverrides(schema: JsonSchema, path: readonly string[]): readonly EnvironmentOverride[] {
    if (schema.properties !== undefined) {
        return Object.entries(schema.properties).flatMap(([name, inner]) => collectOverrides(inner, [...path, name]));
    }
    const isListOfObjects = schema.type === "array" && schema.items?.type === "object";
    return isListOfObjects ? [] : [{ variable: getVariableName(path), path, schema }];
}

function getVariableName(path: readonly string[]): string {
    const names = path.map(name => name.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase());
    return [variablePrefix, ...names].join("_");
}
