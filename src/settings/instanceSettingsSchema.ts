/*
 * The JSON schema of an instance's settings, with defaults.
 */
import { controlSettingsSchema } from "./controlSettingsSchema";
import { entrySettingsSchema } from "./entrySettingsSchema";
import { listenerSettingsSchema } from "./listenerSettingsSchema";
import { loggingSettingsSchema } from "./loggingSettingsSchema";
import { routingSettingsSchema } from "./routingSettingsSchema";
import { sidecarSettingsSchema } from "./sidecarSettingsSchema";
import { tlsSettingsSchema } from "./tlsSettingsSchema";

const nameSchema = { type: "string", pattern: "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$" };

/** The schema of {@link InstanceSettings}. */
export const instanceSettingsSchema = {
    $schema: "http://json-schema.org/draft-07/schema#",
    title: "basilwing instance settings",
    type: "object",
    additionalProperties: false,
    required: ["instanceId", "dataCentre", "region", "roles", "listeners", "control"],
    properties: {
        instanceId: { ...nameSchema, description: "The instance's id, unique over all regions." },
        dataCentre: { ...nameSchema, description: "The data centre that the instance runs in." },
        region: { ...nameSchema, description: "The region that the data centre belongs to." },
        roles: {
            type: "array",
            description: "The roles of the process.",
            items: { enum: ["entry", "companion", "control"] },
            minItems: 1,
            uniqueItems: true,
        },
        dataFolder: { type: "string", minLength: 1, description: "The folder for durable state." },
        listeners: {
            type: "object",
            description: "The addresses that the process listens on.",
            additionalProperties: false,
            required: ["internal"],
            properties: {
                callers: listenerSettingsSchema,
                internal: listenerSettingsSchema,
                operators: listenerSettingsSchema,
                administration: listenerSettingsSchema,
            },
        },
        tls: tlsSettingsSchema,
        control: controlSettingsSchema,
        entry: entrySettingsSchema,
        companion: sidecarSettingsSchema,
        routing: routingSettingsSchema,
        logging: loggingSettingsSchema,
    },
};
