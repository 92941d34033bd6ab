/*
 * The consensus state that a member must not lose in a crash, apart from the log itself.
 */

/** A member's term and vote. */
export interface HardState {
    /** The highest term that the member has seen. */
    term: bigint;
    /** The identity of the member voted for in that term; empty if none. */
    votedFor: string;
}
