/*
 * Declares the record that a process publishes about itself.
 */
import { ProcessRecord } from "../protocol";
import { OwnRecordChange } from "./OwnRecordChange";

/** A process's own record, whose number increases with each change. */
export interface OwnRecord {
    /** Gets the record. */
    get(): ProcessRecord;
    /**
     * Changes the record. A process that is leaving can't return to an earlier state.
     * @param change - The fields that change.
     * @returns Whether anything changed.
     */
    update(change: OwnRecordChange): boolean;
    /**
     * Compares the record with the one that a control member holds of this instance. If the held one is newer or
     * contradicts it, the own record gets a number above it; if it has this incarnation as leaving, the process is
     * leaving.
     * @param heldRecord - The record that the control member holds.
     * @returns Whether the own record changed, and whether the process is leaving because of the held record.
     */
    reconcile(heldRecord: ProcessRecord): { hasChanged: boolean; isLeavingRequested: boolean; };
}
