/*
 * A directory together with the ways in which it learns.
 */
import { DirectoryUpdate, ProcessRecord } from "../protocol";
import { Directory } from "./Directory";
import { PlatformInstance } from "./PlatformInstance";

/** A directory that is fed by control members, by peers, by the data path and by the platform's list. */
export interface WritableDirectory extends Directory {
    /** Takes in a delta or a complete update, in any order and any number of times. */
    applyUpdate(update: DirectoryUpdate): void;
    /**
     * Takes in one record, unless a newer one of the same instance is held.
     * @returns Whether anything changed.
     */
    mergeRecord(record: ProcessRecord): boolean;
    /**
     * Takes in the platform's list, which lags: it neither revives what has left nor removes what is heard of.
     * @returns The instances whose current incarnation the platform has started to remove.
     */
    applyPlatformList(instances: readonly PlatformInstance[]): readonly ProcessRecord[];
    /** Gets one digest for each bucket of instance ids; equal buckets have equal digests. */
    getDigests(): readonly bigint[];
    /** Gets the sidecars' records of some buckets. */
    getSidecarsInBuckets(buckets: readonly number[]): readonly ProcessRecord[];
    /**
     * Adds a listener that is called with each record that changed.
     * @returns A function that removes the listener.
     */
    addListener(listener: (record: ProcessRecord) => void): () => void;
}
