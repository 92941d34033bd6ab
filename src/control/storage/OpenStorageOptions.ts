/*
 * What opening a log's folder needs.
 */
import { Logger } from "../../logging";
import { Metrics } from "../../metrics";
import { ProcessTable } from "./ProcessTable";
import { StorageFileSystem } from "./StorageFileSystem";

/** The options of durable storage. */
export interface OpenStorageOptions {
    /** The folder with the log's files; created where missing. */
    folder: string;
    /** Where events are logged. */
    logger: Logger;
    /** What is counted. */
    metrics: Metrics;
    /** The file system; the machine's where absent. */
    fileSystem?: StorageFileSystem;
    /** The identification of processes for the folder's lock; the machine's where absent. */
    processTable?: ProcessTable;
    /** Makes the identity of an empty folder; a random UUID where absent. */
    createMemberId?: () => string;
    /** The size from which a new segment is begun, in bytes. */
    segmentBytes?: number;
}
