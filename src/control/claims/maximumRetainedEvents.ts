/*
 * How much a part of the replicated state tells of the past.
 */

/** How many events the claims and the quarantine each keep; the same at every member. */
export const maximumRetainedEvents = 500;
