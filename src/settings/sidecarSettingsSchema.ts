/*
 * The schema of the settings of the role `companion`.
 */

/** The schema of {@link SidecarSettings}. */
export const sidecarSettingsSchema = {
    type: "object",
    description: "The backend server of a sidecar, and the limits of the sidecar.",
    additionalProperties: false,
    required: ["backendKind", "serves", "backendAddress"],
    properties: {
        backendKind: {
            enum: ["engine", "service"],
            description: "Whether the backend server is a model engine or a plain service.",
        },
        serves: { type: "string", minLength: 1, description: "The name of the model or service." },
        backendAddress: {
            type: "string",
            format: "httpAddress",
            description: "The backend server's address, as http://ip:port.",
        },
        maximumRunning: {
            type: "integer",
            minimum: 1,
            default: 32,
            description: "The maximum number of requests that run at the backend server at once.",
        },
        maximumQueued: {
            type: "integer",
            minimum: 0,
            default: 1_024,
            description: "The maximum number of requests in the queue.",
        },
        prefillTokensPerSecond: {
            type: "number",
            exclusiveMinimum: 0,
            default: 20_000,
            description: "The initial estimate of the engine's prefill speed, in tokens per second.",
        },
        keptCacheAddress: {
            type: "string",
            format: "httpAddress",
            description: "The address of the KV cache store, as http://ip:port.",
        },
        drainDeadlineMilliseconds: {
            type: "integer",
            minimum: 0,
            default: 120_000,
            description: "How long shutdown waits for requests in flight, in milliseconds.",
        },
    },
};
