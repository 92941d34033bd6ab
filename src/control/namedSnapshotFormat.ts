/*
 * The form of a snapshot that holds those of several parts: a magic number, then for each part the lengths of its name
 * and state, the name and the state.
 */

/** The numbers of the format. */
export const namedSnapshotFormat = {
    /** The number at the start, which names the format and its version. */
    magicNumber: 0x4257_5331,
    /** How long the magic number is, in bytes. */
    headerBytes: 4,
    /** Where the state's length stands, in bytes from the start of a frame. */
    snapshotLengthOffsetBytes: 4,
    /** How long the two lengths are together, in bytes. */
    lengthFieldsBytes: 8,
};
