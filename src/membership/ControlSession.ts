/*
 * Declares a process's session with the control members.
 */
import { OrderReport, ProcessRecord, ProcessState } from "../protocol";
import { Stoppable } from "../runtime";
import { OwnRecordChange } from "./OwnRecordChange";
import { SessionListener } from "./SessionListener";

/** The session of an entry process or a sidecar, connected to one control member at a time. */
export interface ControlSession extends Stoppable {
    /** Gets the process's own record. */
    getOwnRecord(): ProcessRecord;
    /**
     * Changes the process's own record. A process that is leaving can't return to an earlier state.
     * @param change - The fields that change.
     */
    updateOwnRecord(change: OwnRecordChange): void;
    /** Changes the state in the process's own record. */
    setState(state: ProcessState): void;
    /**
     * Requests quota of a limit that is shared by several processes. Without an open stream the request is dropped.
     * @param level - The configuration level that sets the limit.
     * @param spent - The amount spent.
     * @param wanted - The amount requested.
     */
    requestQuota(level: string, spent: bigint, wanted: bigint): void;
    /** Reports the outcome of an order. While no stream is open, a limited number of reports is buffered. */
    reportOrder(report: OrderReport): void;
    /**
     * Adds a listener.
     * @param listener - Called with what the control members send.
     * @returns A function that removes it.
     */
    addListener(listener: SessionListener): () => void;
    /** Returns whether the current stream has received an event from its control member. */
    isConnected(): boolean;
    /**
     * Waits until a configuration has arrived from a control member or from a sidecar.
     * @param signal - Ends the wait.
     * @returns Whether there is a configuration.
     */
    waitUntilConfigured(signal: AbortSignal): Promise<boolean>;
}
