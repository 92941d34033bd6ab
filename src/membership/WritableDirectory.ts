/*
 * Declares a directory together with the operations that update it.
 */
import { DirectoryUpdate, ProcessRecord } from "../protocol";
import { Directory } from "./Directory";
import { PlatformInstance } from "./PlatformInstance";

/** A directory that is updated by control members, by sidecars, by failed requests and by the platform's list. */
export interface WritableDirectory extends Directory {
    /**
     * Applies a delta or a complete update. Updates may arrive in any order and any number of times.
     * @param update - The update.
     */
    applyUpdate(update: DirectoryUpdate): void;
    /**
     * Applies one record, unless the directory has one of the same instance that is as new or newer.
     * @param record - The record.
     * @returns Whether anything changed.
     */
    mergeRecord(record: ProcessRecord): boolean;
    /**
     * Applies the platform's list. The list lags, so it neither revives incarnations that have left nor removes
     * instances that it doesn't contain.
     * @param instances - The instances of the list.
     * @returns The instances whose current incarnation the platform has started to remove.
     */
    applyPlatformList(instances: readonly PlatformInstance[]): readonly ProcessRecord[];
    /** Gets the digest of each bucket of instance ids; equal buckets have equal digests. */
    getDigests(): readonly bigint[];
    /**
     * Gets the records of the sidecars in some buckets.
     * @param buckets - The indexes of the buckets.
     */
    getSidecarsInBuckets(buckets: readonly number[]): readonly ProcessRecord[];
    /**
     * Adds a listener.
     * @param listener - Called with each record that changed.
     * @returns A function that removes the listener.
     */
    addListener(listener: (record: ProcessRecord) => void): () => void;
}
