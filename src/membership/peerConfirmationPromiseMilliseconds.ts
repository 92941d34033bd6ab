/*
 * Sets how long a sidecar's confirmation of a revision is valid.
 */

/** The time for which a sidecar that confirms a revision acknowledges nothing newer, in milliseconds. */
export const peerConfirmationPromiseMilliseconds = 5_000;
