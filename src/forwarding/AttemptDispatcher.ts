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
    /** Returns whether a request may be sent again although it may have run. */
    canRunAgain(task: ForwardingTask): boolean;
    /** Reports the load that this entry process has caused to the others. */
    reportLoads(): void;
}
