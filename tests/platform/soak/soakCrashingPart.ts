/*
 * The part of a prompt that crashes each engine that begins to respond to it.
 */

/** The id of the part. */
export const soakCrashingPart = "dead0bad";
