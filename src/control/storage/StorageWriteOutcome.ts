/*
 * The result of a write to durable storage.
 */

/** The outcome of a write. */
export type StorageWriteOutcome =
    /** The written data is synced to disk. */
    | { kind: "stored"; }
    /** The disk failed or the storage is closed; every later write fails too until the storage is reopened. */
    | { kind: "failed"; reason: string; };
