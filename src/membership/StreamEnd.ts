/*
 * Declares how a stream to a control member ended.
 */

/** The reason why a stream ended, and whether a lease was granted over it. */
export interface StreamEnd {
    /**
     * `failed`: the control member or the network ended it. `silent`: the member sent no events. `stale`: the member
     * granted no leases. `stopped`: this process stopped it.
     */
    reason: "failed" | "silent" | "stale" | "stopped";
    /** Whether a lease was granted over the stream. */
    wasUseful: boolean;
    /** The message of the error that ended the stream, if any. */
    message: string | undefined;
}
