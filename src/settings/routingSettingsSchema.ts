/*
 * The schema of the routing settings.
 */

/** The schema of {@link RoutingSettings}. */
export const routingSettingsSchema = {
    type: "object",
    description: "How prompts are divided into blocks; must be the same in all processes.",
    additionalProperties: false,
    default: {},
    properties: {
        pieceTokens: {
            type: "integer",
            minimum: 1,
            default: 4_096,
            description: "The number of tokens in a cache block.",
        },
        bytesPerToken: {
            type: "number",
            exclusiveMinimum: 0,
            default: 4,
            description: "The average length of a token, in bytes of UTF-8.",
        },
    },
};
