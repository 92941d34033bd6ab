/*
 * The magic number of a segment's frames, by which a valid frame is found after a damaged one.
 */

/** The first 4 bytes of a frame. */
export const frameMagic = "BWFR";
