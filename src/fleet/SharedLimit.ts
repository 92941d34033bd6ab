/*
 * The limit of a backend server with the entry processes that share it.
 */

/** A limit as control members distribute it. */
export interface SharedLimit {
    /** The id of the backend server. */
    instanceId: string;
    /** The requests a second that it takes from all entry processes together; 0 where it has no limit any more. */
    requestsPerSecond: number;
    /** When the backend server said so, on the monotonic clock, in milliseconds. */
    timeMilliseconds: number;
    /** The number of entry processes that may send requests to it. */
    holderCount: number;
    /** Their ids; empty where all entry processes may. */
    holderIds: readonly string[];
}
