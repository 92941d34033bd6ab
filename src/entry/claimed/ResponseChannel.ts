/*
 * Carries an answer from the task that runs a claimed request to the task that answers its caller.
 */
import { AnswerEvent } from "../AnswerEvent";

/** A bounded queue of an answer's events. The running task goes on when the caller's task has left. */
export interface ResponseChannel {
    /** Adds an event; resolves once there is room for another, or at once where nobody reads any more. */
    push(event: AnswerEvent): Promise<void>;
    /** Ends the events. */
    close(): void;
    /**
     * Gives the events in order, until they end.
     * @param signal - Ends the reading.
     */
    read(signal: AbortSignal): AsyncGenerator<AnswerEvent>;
}
