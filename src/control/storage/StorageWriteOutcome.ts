/*
 * What became of a write to durable storage.
 */

/** The outcome of a write. */
export type StorageWriteOutcome =
    /** What was written is synced to disk. */
    | { kind: "stored"; }
    /** The disk failed; nothing more is written until the storage is opened again. */
    | { kind: "failed"; reason: string; };
