/*
 * What an entry process observes of a sidecar while it makes an attempt.
 */

/** One observation of a sidecar. */
export type RoutingObservation =
    /** A request was sent; exactly one observation of another kind follows for it. */
    | { kind: "dispatched"; instanceId: string; }
    /** The sidecar refused the request. The other fields are those of the wire's routing hint. */
    | {
        kind: "refused";
        instanceId: string;
        /** The hash of the prefix that the hint is about; undefined where the refusal has no hint. */
        prefixHash: string | undefined;
        /** The number of backend servers that should serve the prefix. */
        replicaCount: number;
        /** The id of the instance that the sidecar recommends, where it recommends one. */
        sibling: string | undefined;
        /** The queueing time that the sidecar predicted, in milliseconds. */
        predictedWaitMilliseconds: number;
    }
    /** The response is complete. */
    | {
        kind: "answered";
        instanceId: string;
        /** How many prompt tokens the backend server had in its cache. */
        cachedTokens: number;
        /** How long the request was queued at the sidecar, in milliseconds. */
        queueMilliseconds: number;
        /** The chained hashes of the prompt's blocks, shortest prefix first. */
        hashes: readonly string[];
    }
    /** The attempt was cancelled before its response ended, for instance because the caller disconnected. */
    | { kind: "cancelled"; instanceId: string; }
    /** The sidecar was unreachable, the response broke off, or the backend server crashed or was unreachable. */
    | { kind: "failed"; instanceId: string; };
