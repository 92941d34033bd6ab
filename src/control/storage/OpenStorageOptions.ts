/*
 * The options for opening a log's folder.
 */
import { Logger } from "../../logging";
import { Metrics } from "../../metrics";
import { ProcessTable } from "./ProcessTable";
import { StorageFileSystem } from "./StorageFileSystem";

/** The options of durable storage. */
export interface OpenStorageOptions {
    /** The path of the folder with the log's files; created if it doesn't exist. */
    folder: string;
    /** The logger for recovery events and errors. */
    logger: Logger;
    /** The metrics that count disk syncs. */
    metrics: Metrics;
    /** The file system; the machine's by default. */
    fileSystem?: StorageFileSystem;
    /** The identification of processes for the folder's lock; by the operating system's process table by default. */
    processTable?: ProcessTable;
    /** Creates the member identity of an empty folder; a random UUID by default. */
    createMemberId?: () => string;
    /** The size at which a segment is closed and a new one started, in bytes; 1 MiB by default. */
    segmentBytes?: number;
}
