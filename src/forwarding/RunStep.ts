/*
 * The steps in which a run delivers a response.
 */

/** A part of a response, or the end of a run that has none. */
export type RunStep<T> =
    /** A part of the response that the caller has not got yet, or its whole end. */
    | { kind: "delivered"; value: T; }
    /** The run has ended without a response; what the caller gets if no other run is left. */
    | { kind: "failed"; value: T; };
