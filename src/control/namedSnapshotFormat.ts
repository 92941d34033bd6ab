/*
 * The format of a snapshot that contains the snapshots of several parts: a magic number, then one frame for each part.
 * A frame consists of the length of the part's name, the length of its snapshot, the name and the snapshot.
 */

/** The constants of the format; all numbers are written as unsigned 32-bit integers in big-endian order. */
export const namedSnapshotFormat = {
    /** The number at the start, which identifies the format and its version. */
    magicNumber: 0x4257_5331,
    /** The size of the magic number. */
    headerBytes: 4,
    /** The offset of the snapshot's length from the start of a frame. */
    snapshotLengthOffsetBytes: 4,
    /** The size of both lengths together. */
    lengthFieldsBytes: 8,
};
