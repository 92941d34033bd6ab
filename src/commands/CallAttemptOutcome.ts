/*
 * The outcome of one attempt to send a call to one control member.
 */

/** The outcome of an attempt. `status` is the HTTP status, `body` the parsed JSON body. */
export type CallAttemptOutcome =
    | { kind: "answered"; status: number; body: unknown; }
    /** The control member has received nothing, since the connection or its TLS handshake failed. */
    | { kind: "notSent"; reason: string; }
    /** The control member may have received the call, but no complete response arrived. */
    | { kind: "lost"; reason: string; };
