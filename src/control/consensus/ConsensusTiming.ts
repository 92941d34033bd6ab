/*
 * The times that a member of a replicated log keeps.
 */

/** The times of consensus, the same at every member of a group. */
export interface ConsensusTiming {
    /** How often a leader is heard from at least, in milliseconds. */
    heartbeatIntervalMilliseconds: number;
    /** How long a member that heard from a leader refuses to vote for another, in milliseconds. */
    minimumElectionTimeoutMilliseconds: number;
    /** The longest time without a leader until a member stands for election, in milliseconds. */
    maximumElectionTimeoutMilliseconds: number;
    /** By which share the rates of two members' clocks may differ at most. */
    clockRateDifference: number;
    /** After which time a proposal that is not known to be committed is given up, in milliseconds. */
    proposalTimeoutMilliseconds: number;
    /** After which time a voter that does not answer is replaced by a spare, in milliseconds. */
    voterReplacementTimeoutMilliseconds: number;
    /** How often the leader looks for repairs, and a member without a group asks to join one, in milliseconds. */
    maintenanceIntervalMilliseconds: number;
}
