/*
 * The result of opening a log's folder.
 */
import { LogStorage } from "./LogStorage";

/** The outcome of opening a log's folder. */
export type OpenStorageOutcome =
    /** The folder is locked and recovered. */
    | { kind: "opened"; storage: LogStorage; }
    /** Another running process holds the folder's lock. */
    | { kind: "locked"; processId: number; reason: string; }
    /** Acknowledged data is damaged or missing; the member must not join its group. */
    | { kind: "corrupt"; reason: string; }
    /** A file system operation failed. */
    | { kind: "failed"; reason: string; };
