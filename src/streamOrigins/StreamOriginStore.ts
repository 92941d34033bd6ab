/*
 * The interface of the store of one process.
 */
import { StreamOrigin } from "../protocol";

/** Holds the origins of streams in memory, each as long as callers may resume the stream. */
export interface StreamOriginStore {
    /** Adds an origin, unless that of a later attempt of the same request is held. */
    add(origin: StreamOrigin): void;
    /** Gets the origin of the stream that a request began; undefined where it is not held or has expired. */
    get(requestId: string): StreamOrigin | undefined;
    /** Gets all origins that have not expired, with what is left of their lifetimes. */
    getAll(): readonly StreamOrigin[];
    /** Gets the number of origins that are held. */
    getCount(): number;
}
