/*
 * The result of one round of votes or pre-votes.
 */

/** Which voters granted their vote by the time the round was decided. */
export interface VoteResult {
    /** Whether a majority granted its vote in time. */
    isElected: boolean;
    /** The addresses of the other voters that granted their vote. */
    granted: readonly string[];
    /** Those that refused it, each with its term. */
    refused: readonly { address: string; term: string; }[];
    /** The addresses that answered with another identity than the voter's, since its disk was emptied. */
    replaced: readonly string[];
    /** The addresses from which no answer had come, or whose connection failed. */
    unanswered: readonly string[];
}
