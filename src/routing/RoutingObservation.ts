/*
 * What an entry learns of a companion from its answers.
 */

/** One observation of a companion by an entry. */
export type RoutingObservation =
    /** A request was sent; exactly one of the other notes follows for it. */
    | { kind: "dispatched"; instanceId: string; }
    /** The companion refused, with a hint where the prefix is better served. */
    | {
        kind: "refused";
        instanceId: string;
        prefixHash: string | undefined;
        spread: number;
        sibling: string | undefined;
        predictedWaitMilliseconds: number;
    }
    /** The companion answered. */
    | {
        kind: "answered";
        instanceId: string;
        cachedTokens: number;
        queueMilliseconds: number;
        hashes: readonly string[];
    }
    /** The caller went away before the answer ended. */
    | { kind: "cancelled"; instanceId: string; }
    /** The companion could not be reached, or its backend server crashed. */
    | { kind: "failed"; instanceId: string; };
