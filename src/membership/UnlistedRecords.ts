/*
 * Declares which processes are missing from a control member's complete updates.
 */
import { ProcessRecord } from "../protocol";

/** Processes that were missing from a complete update and have not been reported since. */
export interface UnlistedRecords {
    /**
     * Records which processes a complete update left out, and starts their grace period.
     * @param covered - The records in the range that the update covers.
     * @param listedIds - The instance ids in the update.
     * @returns Whether a process was added.
     */
    addUnlisted(covered: readonly ProcessRecord[], listedIds: ReadonlySet<string>): boolean;
    /** Removes an instance, since a record of it has arrived. */
    clear(instanceId: string): void;
    /** Returns whether an instance has been missing for the whole grace period. */
    isOverdue(instanceId: string): boolean;
    /** Returns whether a grace period may have ended since the last call. */
    hasGraceEndedSinceLastCall(): boolean;
}
