/*
 * The services that requests are routed to.
 */

/** A service, by what its backend servers are. */
export type BackendService =
    /** Model engines that batch requests and cache prompt prefixes. */
    | {
        kind: "engine";
        name: string;
        /** Where a backend server answers whether it is well. */
        healthPath: string;
        /** The connections that one backend server takes from all callers together. */
        maximumConnections: number;
        /** The requests that one engine runs at once. */
        slots: number;
        /** The tokens that one engine's memory holds. */
        kvCacheCapacityTokens: number;
        /** The names of the models that the engines serve. */
        models: readonly string[];
    }
    /** Backend servers that run each request by itself. */
    | { kind: "plain"; name: string; healthPath: string; maximumConnections: number; }
    /** The store of kept KV cache, which receives no requests. */
    | { kind: "keptCache"; name: string; address: string; dataCentre: string; };
