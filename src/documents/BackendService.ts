/*
 * The services of a routing document. A service is a group of backend servers of one kind, or a KV cache store.
 */

/** A service, by its kind. */
export type BackendService =
    /** Model engines that batch requests and cache prompt prefixes. */
    | {
        kind: "engine";
        name: string;
        /** The path of a backend server's health check. */
        healthPath: string;
        /** The maximum number of connections to one backend server, over all entry processes together. */
        maximumConnections: number;
        /** The number of requests that one engine runs concurrently. */
        slots: number;
        /** The capacity of one engine's KV cache, in tokens; 0 where it is not known. */
        kvCacheCapacityTokens: number;
        /** The names of the models that the engines serve. */
        models: readonly string[];
    }
    /** Backend servers that run each request independently of the others. */
    | { kind: "plain"; name: string; healthPath: string; maximumConnections: number; }
    /** A KV cache store, which receives no requests of callers; `address` is `ip:port`. */
    | { kind: "keptCache"; name: string; address: string; dataCentre: string; };
