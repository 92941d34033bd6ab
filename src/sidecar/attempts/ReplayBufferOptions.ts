/*
 * The options of a replay buffer.
 */

/** The size and the overflow behaviour of a replay buffer. */
export interface ReplayBufferOptions {
    /** The request's id, which is written into each event. */
    requestId: string;
    /** The maximum size of the buffered events in bytes. */
    maximumBytes: number;
    /**
     * Whether the backend server is slowed down to the speed of the follower. If not, as for requests that must not be
     * delayed or repeated, the oldest events are dropped and the stream of a follower that is too slow is ended.
     */
    appliesBackpressure: boolean;
}
