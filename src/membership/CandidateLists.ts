/*
 * The sidecars that may be given new work, by what they serve.
 */
import { ProcessRecord } from "../protocol";

/** Lists of sidecars that are kept until something in them changes. */
export interface CandidateLists {
    /** Gets the sidecars of a model or service, by instance id. */
    get(serves: string): readonly ProcessRecord[];
    /** Replaces a record. */
    replace(held: ProcessRecord | undefined, record: ProcessRecord): void;
    /** Drops the list of a model or service. */
    drop(serves: string): void;
    /** Drops all lists. */
    dropAll(): void;
}
