/*
 * Sends attempts until one is answered.
 */
import { DispatchOutcome } from "./DispatchOutcome";
import { ForwardingTask } from "./ForwardingTask";

/** Opens answers to requests. */
export interface AttemptDispatcher {
    /**
     * Sends attempts until a backend server answers or nothing more may be tried.
     * @param task - The request.
     * @param lastEventId - The last event that the caller has, where a stream goes on.
     */
    dispatch(task: ForwardingTask, lastEventId: string | undefined): Promise<DispatchOutcome>;
    /** Notes that an opened answer has given its first event. */
    recordPrefillEnd(task: ForwardingTask, instanceId: string): void;
    /** Notes that an opened answer has ended. */
    recordAttemptEnd(instanceId: string): void;
    /** Tells whether a request may be sent again though it may have run. */
    canRunAgain(task: ForwardingTask): boolean;
}
