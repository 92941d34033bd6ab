/*
 * Declares the promises that a sidecar makes to processes whose revision it confirms.
 */

/** Promises not to acknowledge a newer revision or sidecar set for a limited time. */
export interface PeerConfirmationPromises {
    /**
     * Promises, from now on, to acknowledge nothing newer than the given revision and set.
     * @param revision - The confirmed configuration revision.
     * @param sidecarSetNumber - The number of the sidecar set.
     * @returns How long the promise lasts, in milliseconds.
     */
    add(revision: bigint, sidecarSetNumber: bigint): number;
    /**
     * Gets how long an acknowledgement must be delayed until the promises allow it, in milliseconds.
     * @param revision - The configuration revision to acknowledge.
     * @param sidecarSetNumber - The number of the sidecar set to acknowledge.
     */
    getDelayMilliseconds(revision: bigint, sidecarSetNumber: bigint): number;
}
