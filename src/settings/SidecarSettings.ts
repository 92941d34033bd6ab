/*
 * The settings of the role `companion`.
 */

/** The backend server of a sidecar, and the limits of the sidecar. */
export interface SidecarSettings {
    /** Whether the backend server is a model engine or a plain service. */
    backendKind: "engine" | "service";
    /** The name of the model or service. */
    serves: string;
    /** The backend server's address, as `http://ip:port`. */
    backendAddress: string;
    /** The maximum number of requests that run at the backend server at once. */
    maximumRunning: number;
    /** The maximum number of requests in the queue. */
    maximumQueued: number;
    /** The initial estimate of the engine's prefill speed, in tokens per second; corrected by measurements. */
    prefillTokensPerSecond: number;
    /** The address of the KV cache store, as `http://ip:port`; none where absent. */
    keptCacheAddress?: string;
    /** How long shutdown waits for requests in flight, in milliseconds. */
    drainDeadlineMilliseconds: number;
}
