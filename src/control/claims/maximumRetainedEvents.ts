/*
 * The length of the event histories of the claims and the quarantine.
 */

/** How many events the claims and the quarantine each keep; the same at every control member. */
export const maximumRetainedEvents = 500;
