/*
 * Whether a configuration revision is in force, as the leader determines it.
 */

/** The result of checking whether a revision is in force. */
export type InForceCheck =
    | { kind: "inForce"; }
    /** Not in force yet; lists the instances and members that have still to acknowledge or whose leases have to end. */
    | { kind: "pending"; waitingFor: readonly string[]; }
    /** This member does not lead, or can't be certain that it does. */
    | { kind: "noLeader"; };
