/*
 * The kinds of files in a log's folder, identified by the magic number that opens the header.
 */

/** The magic number of each kind of file: the first 8 bytes of its header. */
export enum FileKind {
    Identity = "BWIDENT ",
    HardState = "BWSTATE ",
    Segment = "BWSEGMNT",
    Snapshot = "BWSNAPSH",
}
