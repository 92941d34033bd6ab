/*
 * Declares the lists of sidecars that may be given new work, by the model or service that they serve.
 */
import { ProcessRecord } from "../protocol";

/** Lists of sidecars that are cached until a record in them changes. */
export interface CandidateLists {
    /**
     * Gets the sidecars of a model or service, sorted by instance id.
     * @param serves - The model's or service's name.
     */
    get(serves: string): readonly ProcessRecord[];
    /**
     * Replaces a record and invalidates the lists that it concerns.
     * @param previous - The record of the same instance so far.
     * @param record - The new record.
     */
    replace(previous: ProcessRecord | undefined, record: ProcessRecord): void;
    /** Invalidates the list of a model or service. */
    invalidate(serves: string): void;
    /** Invalidates all lists. */
    invalidateAll(): void;
}
