/*
 * A request that an engine is running.
 */

/** A request in flight at the engine, as evidence for when the engine crashes. */
export interface InFlightRequest {
    /** The digest of workspace and body. */
    readonly fingerprint: Uint8Array;
    /** Whether the request was to run with no other beside it. */
    readonly mustRunAlone: boolean;
    /** The incarnation of the engine that has taken the request, or that was known before. */
    backendIncarnation: string;
}
