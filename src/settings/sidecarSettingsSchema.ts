/*
 * The schema of the settings of the role `companion`.
 */

/** The schema of {@link SidecarSettings}. */
export const sidecarSettingsSchema = {
    type: "object",
    description: "What stands behind a sidecar.",
    additionalProperties: false,
    required: ["backendKind", "serves", "backendAddress"],
    properties: {
        backendKind: {
            enum: ["engine", "service"],
            description: "Whether the backend server is a model engine or a plain service.",
        },
        serves: { type: "string", minLength: 1, description: "The model's or service's name." },
        backendAddress: {
            type: "string",
            format: "httpAddress",
            description: "The backend server's address, as http://ip:port.",
        },
        maximumRunning: {
            type: "integer",
            minimum: 1,
            default: 32,
            description: "How many requests run at once at the backend server.",
        },
        maximumQueued: { type: "integer", minimum: 0, default: 1_024, description: "How many requests may wait." },
        prefillTokensPerSecond: {
            type: "number",
            exclusiveMinimum: 0,
            default: 20_000,
            description: "The engine's prefill speed in tokens a second, to start from.",
        },
        keptCacheAddress: {
            type: "string",
            format: "httpAddress",
            description: "The store of kept KV cache, as http://ip:port.",
        },
        drainDeadlineMilliseconds: {
            type: "integer",
            minimum: 0,
            default: 120_000,
            description: "How long a stop waits for requests in flight, in milliseconds.",
        },
    },
};
