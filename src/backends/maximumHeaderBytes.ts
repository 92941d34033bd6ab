/*
 * The size of a response's head.
 */

/** The maximum size of a response's headers, in bytes. */
export const maximumHeaderBytes = 8_192;
