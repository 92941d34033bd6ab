/*
 * The kinds of records in a segment file.
 */

/** What a record of a segment says. */
export enum RecordKind {
    /** An entry follows the last one. */
    Entry = 1,
    /** The entries from an index on are removed. */
    Truncation = 2,
    /** All entries are removed, and the next one has the index given: a snapshot took their place. */
    Reset = 3,
}
