/*
 * The result of waiting for a read barrier.
 */

/** The outcome of a read barrier. */
export type ReadBarrierOutcome =
    /** The local state machine has applied all entries up to the read index. */
    | { kind: "passed"; index: bigint; }
    /** No leader was reachable, none confirmed its leadership, or the read index was not applied in time. */
    | { kind: "noLeader"; leaderAddress: string | undefined; };
