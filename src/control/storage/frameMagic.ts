/*
 * The bytes that open each frame of a segment, so that a whole frame can be found behind a damaged one.
 */

/** The first four bytes of a frame. */
export const frameMagic = "BWFR";
