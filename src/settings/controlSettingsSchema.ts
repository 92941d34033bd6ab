/*
 * The schema of the control role's settings.
 */

/** The schema of {@link ControlSettings}. */
export const controlSettingsSchema = {
    type: "object",
    description: "The addresses of the control members, and the options of a member.",
    additionalProperties: false,
    required: ["group", "members"],
    properties: {
        group: {
            type: "string",
            minLength: 1,
            description: "The name of the replicated log's group, one for each region.",
        },
        members: {
            type: "array",
            minItems: 1,
            items: { type: "string", format: "address" },
            description: "The internal addresses of the group's members, as ip:port.",
        },
        bootstrap: { type: "boolean", description: "Whether this member starts a new group with the members listed." },
        operators: {
            type: "array",
            description: "The operators, with the digests of their tokens and their permissions.",
            items: {
                type: "object",
                additionalProperties: false,
                required: ["name", "tokenDigest", "role"],
                properties: {
                    name: {
                        type: "string",
                        minLength: 1,
                        description: "The operator's name, recorded in the history of changes.",
                    },
                    tokenDigest: {
                        type: "string",
                        pattern: "^[0-9a-f]{64}$",
                        description: "The token's SHA-256, in hexadecimal.",
                    },
                    nextTokenDigest: {
                        type: "string",
                        pattern: "^[0-9a-f]{64}$",
                        description: "The SHA-256 of a second token, accepted while one token replaces another.",
                    },
                    role: {
                        enum: ["read", "change"],
                        description: "Whether the operator may only read, or also make changes.",
                    },
                },
            },
        },
        initialConfigurationFile: {
            type: "string",
            minLength: 1,
            description: "The file with the initial configuration of a new group.",
        },
        peers: {
            type: "array",
            items: { type: "string", format: "address" },
            description: "Addresses of sidecars to fetch an initial state from while no control member can be reached.",
        },
        platformAddress: {
            type: "string",
            format: "httpAddress",
            description: "The address of the platform's list of instances, as http://ip:port.",
        },
    },
};
