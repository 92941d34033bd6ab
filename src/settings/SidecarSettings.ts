/*
 * The settings of the role `companion`.
 */

/** What stands behind a sidecar. */
export interface SidecarSettings {
    /** Whether the backend server is a model engine or a plain service. */
    backendKind: "engine" | "service";
    /** The model's or service's name. */
    serves: string;
    /** The backend server's address, as `http://ip:port`. */
    backendAddress: string;
    /** How many requests run at once at the backend server. */
    maximumRunning: number;
    /** How many requests may wait. */
    maximumQueued: number;
    /** The engine's prefill speed in tokens a second, to start from; corrected by what is seen. */
    prefillTokensPerSecond: number;
    /** The store of kept KV cache, as `http://ip:port`; none where absent. */
    keptCacheAddress?: string;
    /** How long a stop waits for requests in flight, in milliseconds. */
    drainDeadlineMilliseconds: number;
}
