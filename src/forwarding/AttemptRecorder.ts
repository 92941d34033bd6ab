/*
 * Records how attempts end.
 */
import { FleetInstance } from "../protocol";
import { AttemptEnd } from "./AttemptEnd";
import { AttemptResult } from "./AttemptResult";
import { ForwardingTask } from "./ForwardingTask";

/** Records the results of attempts for the choice of the next ones. */
export interface AttemptRecorder {
    /** Records that an attempt is about to be sent. */
    recordSending(task: ForwardingTask): void;
    /**
     * Records the result of an attempt.
     * @param task - The request.
     * @param instance - The backend server to which it was sent.
     * @param result - The result.
     * @returns Whether no further attempt follows.
     */
    recordResult(task: ForwardingTask, instance: FleetInstance, result: AttemptResult): boolean;
    /** Records that the prefill of a request's prompt has ended, or will not take place. */
    recordPrefillEnd(task: ForwardingTask, instanceId: string): void;
    /** Records that an attempt is no longer in flight. */
    recordAttemptEnd(task: ForwardingTask, instanceId: string, end: AttemptEnd): void;
}
