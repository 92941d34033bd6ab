/*
 * What became of one attempt to call a control member.
 */

/** The outcome of an attempt. */
export type CallAttemptOutcome =
    | { kind: "answered"; status: number; body: unknown; }
    /** The far end received nothing. */
    | { kind: "notSent"; reason: string; }
    /** The far end may have received the call, and no whole answer came. */
    | { kind: "lost"; reason: string; };
