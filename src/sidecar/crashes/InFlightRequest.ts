/*
 * A request in flight at an engine.
 */

/** A request in flight at the engine, as evidence in case the engine crashes. */
export interface InFlightRequest {
    /** The digest of workspace and body. */
    readonly fingerprint: Uint8Array;
    /** Whether no other request may run beside this one. */
    readonly mustRunAlone: boolean;
    /** The incarnation of the engine that has accepted the request; until then, the last known incarnation. */
    backendIncarnation: string;
}
