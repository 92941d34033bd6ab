/*
 * Declares read access to a process's directory of the system's entry processes and sidecars.
 */
import { ProcessRecord } from "../protocol";

/** A process's view of all entry processes and sidecars. */
export interface Directory {
    /**
     * Gets the sidecars that may be given new work for a model or service, in a stable order. Sidecars that are leaving
     * or have terminated are left out. While enough others remain, so are those that are lost or suspected, that the
     * platform lists as leaving, or that a control member no longer lists.
     * @param serves - The model's or service's name.
     */
    getCandidates(serves: string): readonly ProcessRecord[];
    /** Gets the latest record of an instance. */
    getRecord(instanceId: string): ProcessRecord | undefined;
    /** Gets every record, including those of leaving and terminated processes. */
    getRecords(): readonly ProcessRecord[];
    /**
     * Records that a process could not be reached or failed a request. Others are preferred until the suspicion expires
     * or a newer record of the process arrives.
     * @param instanceId - The id of the instance that failed.
     * @param incarnation - The incarnation that failed; a newer one isn't suspected.
     */
    addSuspicion(instanceId: string, incarnation: string): void;
    /**
     * Records that a process has announced that it is leaving; this is permanent for the incarnation.
     * @param instanceId - The id of the instance.
     * @param incarnation - The incarnation that is leaving.
     */
    addLeaving(instanceId: string, incarnation: string): void;
    /** Gets a number that increases with each change of the directory. */
    getChangeNumber(): number;
}
