/*
 * The delay after which a caller that is refused in a planned stop may retry.
 */

/** The delay, in milliseconds; it is short, since the caller's next connection leads to another entry process. */
export const drainingRetryAfterMilliseconds = 50;
