/*
 * The outcome of a call to another control member.
 */

/** The outcome of a call, which tells apart whether the call can have been carried out. */
export type CallOutcome<T> =
    | { kind: "answered"; response: T; }
    /** No connection could be made, so that the call was certainly not carried out. */
    | { kind: "notSent"; reason: string; }
    /** No response arrived; the call may have been carried out. */
    | { kind: "unknown"; reason: string; };
