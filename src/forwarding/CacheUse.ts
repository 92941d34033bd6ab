/*
 * How an attempt uses the cache of an engine. An engine finds cached parts under one salt only, and takes a request without
 * a salt as one that shares its parts with all others without one, so that each attempt has a salt.
 */

/** The salt of an attempt, and what engines need to know where parts are shared under it. */
export type CacheUse =
    /** Parts are shared with other requests of the same scope and weights version. */
    | {
        kind: "shared";
        /** The salt under which the prompt's parts are cached. */
        salt: string;
        /** The only weights version under which the request may run: the one that the salt names. */
        weightsVersion: number;
        /** The engine or KV cache store from which missing parts are fetched, as `ip:port`. */
        fetchAddress: string | undefined;
        /** The KV cache store to which the engine saves parts after their prefill, as `ip:port`. */
        saveAddress: string | undefined;
    }
    /** Nothing is shared, since the service is not known to be an engine's, or the model is not known. */
    | {
        kind: "private";
        /** A salt that no other request has. */
        salt: string;
    };
