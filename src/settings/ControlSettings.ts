/*
 * The settings of the control role, and of the processes that connect to control members.
 */

/** The addresses of the control members, and the options of a member. */
export interface ControlSettings {
    /** The name of the replicated log's group, one for each region. */
    group: string;
    /** The internal addresses of the group's members, as `ip:port`. */
    members: readonly string[];
    /** Whether this member starts a new group, together with the other members listed. */
    bootstrap?: boolean;
    /** The operators, with the digests of their tokens and their permissions. */
    operators?: readonly {
        /** The operator's name, recorded in the history of changes. */
        name: string;
        /** The token's SHA-256, in hexadecimal. */
        tokenDigest: string;
        /** The SHA-256 of a second token, accepted while one token replaces another. */
        nextTokenDigest?: string;
        /** Whether the operator may only read, or also make changes. */
        role: "read" | "change";
    }[];
    /** The file with the initial configuration of a new group. */
    initialConfigurationFile?: string;
    /**
     * The internal addresses of sidecars, as `ip:port`, to fetch an initial state from while no control member can be
     * reached.
     */
    peers?: readonly string[];
    /** The address of the platform's list of instances, as `http://ip:port`; none where absent. */
    platformAddress?: string;
}
