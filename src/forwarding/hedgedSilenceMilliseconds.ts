/*
 * When a request whose response has not begun is hedged.
 */

/**
 * The silence after which a request may be hedged, in milliseconds. The attempt itself must have been silent so long: others at
 * its server may have been for longer.
 */
export const hedgedSilenceMilliseconds = 350;
