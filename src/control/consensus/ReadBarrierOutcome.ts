/*
 * The result of waiting for a read barrier.
 */

/** The outcome of a read barrier. */
export type ReadBarrierOutcome =
    /** The local state machine has applied all entries up to the read index. */
    | { kind: "passed"; index: bigint; }
    /** No leader was reachable, or none confirmed its leadership. */
    | { kind: "noLeader"; leaderAddress: string | undefined; }
    /** A leader gave the read index, but the local state machine did not apply all entries up to it in time. */
    | { kind: "notApplied"; leaderAddress: string | undefined; index: bigint; appliedIndex: bigint; };
