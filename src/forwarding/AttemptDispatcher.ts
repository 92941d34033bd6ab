/*
 * Sends attempts of a request until one of them gets a response.
 */
import { AttemptEnd } from "./AttemptEnd";
import { DispatchOutcome } from "./DispatchOutcome";
import { ForwardingTask } from "./ForwardingTask";

/** Sends attempts to backend servers and tracks them until they end. */
export interface AttemptDispatcher {
    /**
     * Sends attempts until a backend server responds or no further attempt is allowed.
     * @param task - The request.
     * @param lastEventId - The last event that the caller has received, where a stream is resumed.
     */
    dispatch(task: ForwardingTask, lastEventId: string | undefined): Promise<DispatchOutcome>;
    /** Records that the prefill of a request's prompt has ended: its first event was received, or none will be. */
    recordPrefillEnd(task: ForwardingTask, instanceId: string): void;
    /** Records how the response to the last attempt has ended. */
    recordAttemptEnd(task: ForwardingTask, instanceId: string, end: AttemptEnd): void;
    /** Returns whether a request may be sent again although it may have run, while no other run of it is in progress. */
    canRunAgain(task: ForwardingTask): boolean;
    /**
     * Takes a retry for a second run beside one whose backend server is silent.
     * @param task - The silent run.
     * @returns Whether the second run may start: the request may be sent once more, and another server could take over.
     */
    tryReserveHedge(task: ForwardingTask): boolean;
    /** Records that a second run has delivered before the silent one. */
    recordHedgeWon(task: ForwardingTask): void;
    /** Reports the load that this entry process has caused to the others. */
    reportLoads(): void;
}
