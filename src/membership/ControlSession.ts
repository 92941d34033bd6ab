/*
 * A process's one stream to the control members.
 */
import { OrderReport, ProcessRecord, ProcessState } from "../protocol";
import { Stoppable } from "../runtime";
import { OwnRecordChange } from "./OwnRecordChange";
import { SessionListener } from "./SessionListener";

/** The session of an entry or a sidecar, kept with one control member or another. */
export interface ControlSession extends Stoppable {
    /** Gets what the process says of itself. */
    getOwnRecord(): ProcessRecord;
    /** Changes what the process says of itself. Leaving can't be taken back. */
    updateOwnRecord(change: OwnRecordChange): void;
    /** Changes the process's state; the same as a change of the record. */
    setState(state: ProcessState): void;
    /** Asks for an amount of a limit that spans processes. */
    requestQuota(level: string, spent: bigint, wanted: bigint): void;
    /** Reports what became of an order; kept until a stream can carry it. */
    reportOrder(report: OrderReport): void;
    /**
     * Adds a listener.
     * @returns A function that removes it.
     */
    addListener(listener: SessionListener): () => void;
    /** Tells whether a stream to a control member is open. */
    isConnected(): boolean;
    /**
     * Waits until a configuration has come from a control member or from a peer.
     * @param signal - Gives up waiting.
     * @returns Whether there is a configuration.
     */
    waitUntilConfigured(signal: AbortSignal): Promise<boolean>;
}
