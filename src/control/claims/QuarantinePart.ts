/*
 * The part of the replicated state that holds the quarantine.
 */
import { QuarantineRecord } from "../../protocol";
import { EventSource } from "../EventSource";
import { StateMachinePart } from "../StateMachinePart";

/** Applies crash reports, trials and releases, and keeps an event for each quarantine and release. */
export interface QuarantinePart extends StateMachinePart, EventSource {
    /** Gets the records of all requests with a recorded crash, trial or quarantine, for the entry processes. */
    getRecords(): readonly QuarantineRecord[];
    /** Gets a number that grows whenever the records may have changed. */
    getChangeNumber(): number;
}
