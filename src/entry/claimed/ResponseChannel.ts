/*
 * Carries a response from the task that runs a claimed request to the request handler that serves its caller.
 */
import { ResponseEvent } from "../ResponseEvent";

/**
 * A bounded queue of a response's events. When the reader has stopped, further events are discarded, so that the writer
 * is never blocked by a caller that has disconnected.
 */
export interface ResponseChannel {
    /**
     * Adds an event.
     * @param event - The next event of the response.
     * @returns A promise that resolves when the queue is below its limit, or at once if the reader has stopped.
     */
    push(event: ResponseEvent): Promise<void>;
    /** Ends the response: the reader gets the events that are queued, and no more. */
    close(): void;
    /**
     * Yields the events in order, until the channel is closed. May be called once.
     * @param signal - Stops the reader.
     */
    read(signal: AbortSignal): AsyncGenerator<ResponseEvent>;
}
