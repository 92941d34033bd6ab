/*
 * Sends attempts until one is answered.
 */
import { ForwardingTask } from "./ForwardingTask";
import { OpenOutcome } from "./OpenOutcome";

/** Opens answers to requests. */
export interface AnswerOpener {
    /**
     * Sends attempts until a backend server answers or nothing more may be tried.
     * @param task - The request.
     * @param lastEventId - The last event that the caller has, where a stream goes on.
     */
    open(task: ForwardingTask, lastEventId: string | undefined): Promise<OpenOutcome>;
    /** Notes that an opened answer has given its first event. */
    noteStarted(task: ForwardingTask, instanceId: string): void;
    /** Notes that an opened answer has ended. */
    noteEnded(instanceId: string): void;
    /** Tells whether a request may be sent again though it may have run. */
    canRepeat(task: ForwardingTask): boolean;
}
