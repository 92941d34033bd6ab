/*
 * How much of an attempt's answer is kept, and for whom.
 */

/** The options of an attempt's tail. */
export interface ReplayBufferOptions {
    /** The request's id, in each event. */
    requestId: string;
    /** How many bytes are kept. */
    maximumBytes: number;
    /**
     * Whether the backend server is held up while the answer's reader is slow. Where it is not, as for requests that
     * must not be held up or repeated, the oldest events are dropped and a reader that is too slow is ended.
     */
    appliesBackpressure: boolean;
}
