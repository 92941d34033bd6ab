/*
 * What a sidecar has promised to processes that it vouched for.
 */

/** The promises not to acknowledge anything newer for a time. */
export interface PeerConfirmationPromises {
    /**
     * Promises, from now on, to acknowledge nothing newer than what is held.
     * @returns How long the promise lasts, in milliseconds.
     */
    add(revision: bigint, sidecarSetNumber: bigint): number;
    /** Gets how long an acknowledgement must wait for promises to end, in milliseconds. */
    getDelayMilliseconds(revision: bigint, sidecarSetNumber: bigint): number;
}
