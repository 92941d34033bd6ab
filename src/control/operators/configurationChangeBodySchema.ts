/*
 * The JSON schema of the body of an operator's request that changes the configuration.
 */
import { JsonSchema } from "../../settings/validation";

/** The schema of {@link ConfigurationChangeBody}; the configuration tree checks the values themselves. */
export const configurationChangeBodySchema: JsonSchema = {
    type: "object",
    additionalProperties: false,
    required: ["changeId", "expectedRevision", "operations"],
    properties: {
        changeId: { type: "string", pattern: "^[!-~]{1,128}$" },
        expectedRevision: { type: "integer", minimum: 0, maximum: Number.MAX_SAFE_INTEGER },
        operations: {
            type: "array",
            minItems: 1,
            items: {
                type: "object",
                additionalProperties: false,
                required: ["level"],
                properties: {
                    level: { type: "string", maxLength: 256 },
                    setting: { type: "string", maxLength: 512 },
                    value: {},
                    removeLevel: { type: "boolean" },
                },
            },
        },
    },
};
