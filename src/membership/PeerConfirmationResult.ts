/*
 * What became of asking sidecars to vouch.
 */

/** The outcome of one round of asking. */
export type PeerConfirmationResult =
    /** A majority vouches, for so long from when the round began. */
    | { kind: "vouched"; milliseconds: number; }
    /** A sidecar's lease runs and it holds nothing newer: it will decide itself, dispatch by dispatch. */
    | { kind: "sidecarLease"; }
    /** A sidecar holds a newer revision or a newer set of sidecars. */
    | { kind: "newer"; revision: bigint; sidecarSetNumber: bigint; instanceId: string; }
    /** No majority could be reached. */
    | { kind: "noMajority"; };
