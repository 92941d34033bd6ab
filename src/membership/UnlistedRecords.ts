/*
 * Which processes a control member did not list although it sent all that it knows.
 */
import { ProcessRecord } from "../protocol";

/** Processes that were missing from a complete update. */
export interface UnlistedRecords {
    /**
     * Notes what a complete update left out.
     * @param covered - The records that the update would have held.
     * @param listedIds - The instance ids that it held.
     * @returns Whether anything changed.
     */
    addUnlisted(covered: readonly ProcessRecord[], listedIds: ReadonlySet<string>): boolean;
    /** Notes that an instance has been heard of. */
    clear(instanceId: string): void;
    /** Tells whether an instance has been missing for longer than the grace. */
    isOverdue(instanceId: string): boolean;
    /** Tells whether a grace has ended since the last call. */
    hasGraceEndedSinceLastCall(): boolean;
}
