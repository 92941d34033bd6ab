/*
 * Whether a configuration revision is in force on all instances.
 */

/** The leader's report on a configuration revision. */
export type InForceReport =
    | { kind: "inForce"; }
    /** The leader is still waiting for the listed instances to apply the revision. */
    | { kind: "pending"; waitingFor: readonly string[]; }
    /** No leader could be reached. */
    | { kind: "noLeader"; };
