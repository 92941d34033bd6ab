/*
 * What a process says of itself.
 */
import { ProcessRecord } from "../protocol";
import { OwnRecordChange } from "./OwnRecordChange";

/** A process's own record, whose number grows with each change. */
export interface OwnRecord {
    /** Gets the record. */
    get(): ProcessRecord;
    /**
     * Changes the record; leaving can't be taken back.
     * @returns Whether anything changed.
     */
    update(change: OwnRecordChange): boolean;
    /**
     * Compares the record with what a control member holds, and goes beyond it where they differ.
     * @param heldRecord - What the control member holds of this instance.
     */
    reconcile(heldRecord: ProcessRecord): { hasChanged: boolean; isLeavingRequested: boolean; };
}
