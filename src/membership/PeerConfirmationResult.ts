/*
 * Declares the outcome of asking sidecars to confirm a configuration revision.
 */

/** The outcome of one confirmation round. */
export type PeerConfirmationResult =
    /** A majority confirms the revision, for the given time from the start of the round. */
    | { kind: "confirmed"; validMilliseconds: number; }
    /** A sidecar has a valid lease and no newer state: such a sidecar decides on each dispatch itself. */
    | { kind: "sidecarLease"; }
    /** The sidecar `instanceId` has a newer revision or a newer sidecar set. */
    | { kind: "newer"; revision: bigint; sidecarSetNumber: bigint; instanceId: string; }
    /** No majority of the sidecars confirmed the revision. */
    | { kind: "noMajority"; };
