/*
 * How long a sidecar's word holds.
 */

/** How long a sidecar that vouches acknowledges nothing newer, in milliseconds. */
export const peerConfirmationPromiseMilliseconds = 5_000;
