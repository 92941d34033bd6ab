/*
 * The schema of the control role's settings.
 */

/** The schema of {@link ControlSettings}. */
export const controlSettingsSchema = {
    type: "object",
    description: "Where the control members are, and how one of them behaves.",
    additionalProperties: false,
    required: ["group", "members"],
    properties: {
        group: { type: "string", minLength: 1, description: "The name of the replicated log's group; one a region." },
        members: {
            type: "array",
            minItems: 1,
            items: { type: "string", format: "address" },
            description: "The internal addresses of the group's members, as ip:port.",
        },
        bootstrap: { type: "boolean", description: "Whether this member starts a new group with the members listed." },
        operators: {
            type: "array",
            description: "The digests of operators' tokens and what each may do.",
            items: {
                type: "object",
                additionalProperties: false,
                required: ["name", "tokenDigest", "role"],
                properties: {
                    name: { type: "string", minLength: 1, description: "The operator's name, kept in the history." },
                    tokenDigest: {
                        type: "string",
                        pattern: "^[0-9a-f]{64}$",
                        description: "The token's SHA-256, in hexadecimal.",
                    },
                    nextTokenDigest: {
                        type: "string",
                        pattern: "^[0-9a-f]{64}$",
                        description: "A second token's SHA-256, for the time in which one token replaces another.",
                    },
                    role: { enum: ["read", "change"], description: "What the operator may do." },
                },
            },
        },
        initialConfigurationFile: {
            type: "string",
            minLength: 1,
            description: "The configuration that a new group starts from.",
        },
        peers: {
            type: "array",
            items: { type: "string", format: "address" },
            description: "Sidecars' addresses to take a first state from while no control member can be reached.",
        },
        platformAddress: {
            type: "string",
            format: "httpAddress",
            description: "The platform's list of instances, as http://ip:port.",
        },
    },
};
