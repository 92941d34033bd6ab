/*
 * The settings of the control role, and of those who speak with control members.
 */

/** Where the control members are, and how one of them behaves. */
export interface ControlSettings {
    /** The name of the replicated log's group; one a region. */
    group: string;
    /** The internal addresses of the group's members, as `ip:port`. */
    members: readonly string[];
    /** Whether this member starts a new group, together with the other members listed. */
    bootstrap?: boolean;
    /** The digests of operators' tokens and what each may do. */
    operators?: readonly {
        name: string;
        tokenDigest: string;
        /** A second token's digest, for the time in which one token replaces another. */
        nextTokenDigest?: string;
        role: "read" | "change";
    }[];
    /** The file with the configuration that a new group starts from. */
    initialConfigurationFile?: string;
    /** Sidecars' internal addresses, as `ip:port`, to take a first state from while no control member can be reached. */
    peers?: readonly string[];
    /** The platform's list of instances, as `http://ip:port`; none where absent. */
    platformAddress?: string;
}
