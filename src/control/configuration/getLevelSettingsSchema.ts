/*
 * The schemas of the settings for each kind of level.
 */
import { JsonSchema } from "../../settings/validation";
import { LevelKind } from "./LevelKind";

const nameSchema: JsonSchema = { type: "string", pattern: "^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$" };
const maximumEntries = 256;
const maximumVersions = 64;
const maximumRoutes = 256;
const maximumKeys = 32;
const maximumRoles = 4_096;

const modelsSchema: JsonSchema = {
    type: "object",
    description: "The models that may be used, by name. A model's entry is inherited or overridden as a whole.",
    propertyNames: nameSchema,
    maxProperties: maximumEntries,
    additionalProperties: {
        type: "object",
        description: "The permission to use one model.",
        additionalProperties: false,
        required: ["allowed"],
        properties: {
            allowed: { type: "boolean", description: "Whether the model may be used." },
            versions: {
                type: "array",
                items: nameSchema,
                maxItems: maximumVersions,
                uniqueItems: true,
                description: "The versions that a request may ask for; any if absent.",
            },
        },
    },
};

const limitsSchema: JsonSchema = {
    type: "object",
    description: "The limits for requests, counted over all entry processes. Each limit is inherited individually, and "
        + "those of the workspace, the team and the subscriber all apply.",
    additionalProperties: false,
    properties: {
        requestsPerSecond: {
            type: "number",
            minimum: 0,
            maximum: 1_000_000,
            description: "The maximum number of requests that may start in a second.",
        },
        tokensPerMinute: {
            type: "integer",
            minimum: 0,
            maximum: 1_000_000_000_000,
            description: "The maximum number of tokens, of prompts and completions, that may be used in a minute.",
        },
        concurrentRequests: {
            type: "integer",
            minimum: 0,
            maximum: 1_000_000,
            description: "The maximum number of requests in flight.",
        },
    },
};

const servicesSchema: JsonSchema = {
    type: "object",
    description: "The plain services that may be used, by name, with their routes. A service's list is inherited or "
        + "overridden as a whole.",
    propertyNames: nameSchema,
    maxProperties: maximumEntries,
    additionalProperties: {
        type: "array",
        description: "The routes of one service.",
        maxItems: maximumRoutes,
        items: {
            type: "object",
            additionalProperties: false,
            required: ["method", "path", "idempotent"],
            properties: {
                method: {
                    enum: ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"],
                    description: "The HTTP method.",
                },
                path: {
                    type: "string",
                    pattern: "^/[!-~]{0,1023}$",
                    description: "The path within the service; a trailing `*` matches any suffix.",
                },
                idempotent: { type: "boolean", description: "Whether the call may be repeated." },
            },
        },
    },
};

const rolloutsSchema: JsonSchema = {
    type: "object",
    description: "The versions that backend servers should hold, by model.",
    propertyNames: nameSchema,
    maxProperties: maximumEntries,
    additionalProperties: {
        type: "object",
        description: "The desired state of the backend servers of one model.",
        additionalProperties: false,
        required: ["version"],
        properties: {
            version: { ...nameSchema, description: "The weights version that the backend servers should serve." },
            adapters: {
                type: "array",
                items: nameSchema,
                maxItems: maximumVersions,
                uniqueItems: true,
                description: "The adapters that the backend servers should have loaded.",
            },
            capacityFloor: {
                type: "number",
                minimum: 0,
                maximum: 1,
                description: "The minimum share of the backend servers that must stay in service.",
            },
            roles: {
                type: "object",
                description: "The desired role of each backend server, by instance id; `both` if absent.",
                propertyNames: nameSchema,
                maxProperties: maximumRoles,
                additionalProperties: nameSchema,
            },
        },
    },
};

const keyDigestsSchema: JsonSchema = {
    type: "array",
    description: "The SHA-256 digests of the keys that identify the subscriber, in hexadecimal.",
    items: { type: "string", pattern: "^[0-9a-f]{64}$" },
    maxItems: maximumKeys,
    uniqueItems: true,
};

const commonSettingSchemas: Readonly<Record<string, JsonSchema>> = {
    models: modelsSchema,
    shareWeight: {
        type: "number",
        exclusiveMinimum: 0,
        maximum: 1_000_000,
        description: "The weight of the level's share of contended capacity, relative to its siblings.",
    },
    priority: {
        enum: ["interactive", "standard", "deferred"],
        description: "The priority of requests; a request may ask for a lower one.",
    },
    limits: limitsSchema,
    services: servicesSchema,
};

/**
 * Gets the schema of the settings for a kind of level.
 * @param kind - The kind of the level.
 */
export function getLevelSettingsSchema(kind: LevelKind): JsonSchema {
    return {
        type: "object",
        description: `What the ${kind} level may set; a setting that is absent is inherited.`,
        additionalProperties: false,
        properties: getSettingSchemas(kind),
    };
}

function getSettingSchemas(kind: LevelKind): Readonly<Record<string, JsonSchema>> {
    switch (kind) {
        case LevelKind.Root:
            return { ...commonSettingSchemas, rollouts: rolloutsSchema };
        case LevelKind.Workspace:
        case LevelKind.Team:
            return commonSettingSchemas;
        case LevelKind.Subscriber:
            return { ...commonSettingSchemas, keyDigests: keyDigestsSchema };
    }
}
