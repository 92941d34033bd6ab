/*
 * A voter as the leader sees it.
 */

/** One voter's connection to the leader. */
export interface VoterStatus {
    /** The voter's address. */
    address: string;
    /** The time since the newest message that the voter acknowledged was sent, in milliseconds. */
    unresponsiveMilliseconds: number;
    /** Whether its address answers with another identity, so that this voter's disk is lost. */
    isReplaced: boolean;
    /** Whether it acknowledged a message within the minimum election timeout. */
    isResponsive: boolean;
}
