/*
 * The kinds of records in a segment file.
 */

/** The kind of a record, as encoded in its first byte. */
export enum RecordKind {
    /** Appends an entry after the last one. */
    Entry = 1,
    /** Removes the entry with the record's index and all later ones. */
    Truncation = 2,
    /** Removes all entries because a snapshot replaced them; the next entry has the record's index. */
    Reset = 3,
}
