/*
 * The schema of the entry role's settings.
 */

/** The schema of {@link EntrySettings}. */
export const entrySettingsSchema = {
    type: "object",
    description: "The limits of an entry process.",
    additionalProperties: false,
    default: {},
    properties: {
        maximumBodyBytes: {
            type: "integer",
            minimum: 1_024,
            default: 8_388_608,
            description: "The maximum size of a request body, in bytes.",
        },
        maximumHeaderBytes: {
            type: "integer",
            minimum: 1_024,
            default: 16_384,
            description: "The maximum size of a request's headers, in bytes.",
        },
        maximumConnections: {
            type: "integer",
            minimum: 1,
            default: 4_096,
            description: "The maximum number of open connections.",
        },
        maximumRequestsInFlight: {
            type: "integer",
            minimum: 1,
            default: 1_024,
            description: "The maximum number of requests in flight.",
        },
        requestTimeoutMilliseconds: {
            type: "integer",
            minimum: 1,
            default: 30_000,
            description: "How long a caller may take to send a complete request, in milliseconds.",
        },
        idleTimeoutMilliseconds: {
            type: "integer",
            minimum: 1,
            default: 75_000,
            description: "How long an idle connection is kept open, in milliseconds.",
        },
        defaultDeadlineMilliseconds: {
            type: "integer",
            minimum: 1,
            default: 300_000,
            description: "The deadline of a request whose caller sets none, in milliseconds.",
        },
        retryBudgetShare: {
            type: "number",
            minimum: 0,
            maximum: 10,
            default: 0.5,
            description: "The number of retries allowed for each first attempt.",
        },
        leaveMilliseconds: {
            type: "integer",
            minimum: 0,
            default: 2_000,
            description:
                "How long a stopping entry accepts requests while the load balancer detects it, in milliseconds.",
        },
        drainDeadlineMilliseconds: {
            type: "integer",
            minimum: 0,
            default: 120_000,
            description: "How long shutdown waits for requests in flight, in milliseconds.",
        },
    },
};
