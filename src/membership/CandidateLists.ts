/*
 * The sidecars that may be given new work, by what they serve.
 */
import { ProcessRecord } from "../protocol";

/** Lists of sidecars that are kept until something in them changes. */
export interface CandidateLists {
    /** Gets the sidecars of a model or service, by instance id. */
    get(serves: string): readonly ProcessRecord[];
    /** Replaces a record. */
    replace(previous: ProcessRecord | undefined, record: ProcessRecord): void;
    /** Drops the list of a model or service. */
    invalidate(serves: string): void;
    /** Drops all lists. */
    invalidateAll(): void;
}
