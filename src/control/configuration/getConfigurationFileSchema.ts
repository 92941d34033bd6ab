/*
 * The schema of declarative configuration files.
 */
import { JsonSchema } from "../../settings/validation";
import { getChildKind } from "./getChildKind";
import { getChildrenPropertyName } from "./getChildrenPropertyName";
import { getLevelSettingsSchema } from "./getLevelSettingsSchema";
import { LevelKind } from "./LevelKind";
import { levelNamePattern } from "./levelNamePattern";

/**
 * Gets the schema of a file that describes a level and its descendants.
 * @param kind - The kind of the file's top level.
 */
export function getConfigurationFileSchema(kind: LevelKind): JsonSchema {
    return {
        type: "object",
        description: `A ${kind} level with all below it.`,
        additionalProperties: false,
        properties: { settings: getLevelSettingsSchema(kind), ...getChildrenProperty(kind) },
    };
}

function getChildrenProperty(kind: LevelKind): Readonly<Record<string, JsonSchema>> {
    const childrenName = getChildrenPropertyName(kind);
    const childKind = getChildKind(kind);
    if (childrenName === undefined || childKind === undefined) {
        return {};
    }
    const children: JsonSchema = {
        type: "object",
        description: `The ${childrenName}, by name.`,
        propertyNames: { type: "string", pattern: levelNamePattern.source },
        additionalProperties: getConfigurationFileSchema(childKind),
    };
    return { [childrenName]: children };
}
