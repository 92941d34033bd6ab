/*
 * The result of making a member the only voter of its group.
 */

/** The outcome of making a member the only voter. */
export type RecoverOutcome =
    /** The member set of the member alone is in its log. */
    | { kind: "recovered"; address: string; lastIndex: bigint; term: bigint; formerVoters: number; }
    /** The folder's content doesn't allow it. */
    | { kind: "refused"; reason: string; }
    /** A write failed. */
    | { kind: "failed"; reason: string; };
