/*
 * What became of a read barrier.
 */

/** The outcome of a read barrier. */
export type ReadBarrierOutcome =
    /** The state machine here holds everything up to the index. */
    | { kind: "passed"; index: bigint; }
    /** No leader could be asked, or none could prove its leadership in time. */
    | { kind: "noLeader"; leaderAddress: string | undefined; };
