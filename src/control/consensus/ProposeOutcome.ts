/*
 * The result of a proposal to a replicated log.
 */

/** The outcome of a proposal. */
export type ProposeOutcome =
    /** The command is committed and applied at this member. */
    | { kind: "committed"; term: bigint; index: bigint; result: Uint8Array; }
    /**
     * The command is not and never will be committed, since this member is not the leader or another leader replaced
     * the entry.
     */
    | { kind: "notLeader"; leaderAddress: string | undefined; }
    /** The outcome could not be determined: the command may or may not be committed. */
    | { kind: "unknown"; }
    /** The command was not appended, since it is too large, the member is stopping or its disk has failed. */
    | { kind: "refused"; reason: string; };
