/*
 * The timing of a member of a replicated log.
 */

/** The intervals and timeouts of consensus, which have to be the same at every member of a group. */
export interface ConsensusTiming {
    /** The maximum time between a leader's messages to a member, in milliseconds. */
    heartbeatIntervalMilliseconds: number;
    /**
     * How long after a leader's message a member refuses all votes, in milliseconds, unless the message asks for longer;
     * leases rely on it.
     */
    minimumElectionTimeoutMilliseconds: number;
    /** The upper end of the random election timeout, in milliseconds. */
    maximumElectionTimeoutMilliseconds: number;
    /** How many times longer a leader may ask members to refuse votes, where their responses take long. */
    maximumPromiseFactor: number;
    /** The maximum relative difference between the rates of two members' clocks, such as 0.1. */
    clockRateDifference: number;
    /** How long a proposal waits for its outcome until it is reported as unknown, in milliseconds. */
    proposalTimeoutMilliseconds: number;
    /** How long a voter may be unresponsive until a learner replaces it, in milliseconds. */
    voterReplacementTimeoutMilliseconds: number;
    /**
     * How long a learner may be unresponsive until it is removed from a group that has few places left, in milliseconds.
     * A group with no place left removes it after the timeout of a voter.
     */
    learnerRemovalTimeoutMilliseconds: number;
    /**
     * How often the leader checks for needed member changes, and a member outside its group asks to join, in
     * milliseconds.
     */
    maintenanceIntervalMilliseconds: number;
}
