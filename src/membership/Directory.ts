/*
 * Which processes there are, as one process knows them.
 */
import { ProcessRecord } from "../protocol";

/** A process's view of all entries and sidecars. */
export interface Directory {
    /**
     * Gets the sidecars that may be given new work for a model or service, in a stable order. One that is leaving,
     * gone or suspected is left out.
     * @param serves - The model's or service's name.
     */
    getCandidates(serves: string): readonly ProcessRecord[];
    /** Gets a process's latest record. */
    getRecord(instanceId: string): ProcessRecord | undefined;
    /** Gets every record, leaving and gone ones included. */
    getRecords(): readonly ProcessRecord[];
    /**
     * Notes that a process could not be reached or failed a request, so that others are preferred until it is heard of.
     * @param incarnation - The incarnation that failed; a newer one is not suspected.
     */
    addSuspicion(instanceId: string, incarnation: string): void;
    /** Notes that a process has said of itself that it is leaving; this sticks for the incarnation. */
    addLeaving(instanceId: string, incarnation: string): void;
    /** Gets a number that grows with each change of the directory. */
    getChangeNumber(): number;
}
