/*
 * The size of the header of a segment's frame.
 */

/** The size of a frame's header, in bytes: magic number (4), payload length (4) and checksum (4). */
export const frameHeaderBytes = 12;
