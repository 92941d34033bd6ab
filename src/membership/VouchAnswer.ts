/*
 * What became of asking companions to vouch.
 */

/** The outcome of one round of asking. */
export type VouchAnswer =
    /** A majority vouches, for so long from when the round began. */
    | { kind: "vouched"; milliseconds: number; }
    /** A companion's lease runs and it holds nothing newer: it will decide itself, dispatch by dispatch. */
    | { kind: "sidecarLease"; }
    /** A companion holds a newer revision or a newer set of companions. */
    | { kind: "newer"; revision: bigint; sidecarSetNumber: bigint; instanceId: string; }
    /** No majority could be reached. */
    | { kind: "noMajority"; };
