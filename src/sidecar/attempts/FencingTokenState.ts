/*
 * What a sidecar has recorded of a claim's fencing token.
 */

/** The state of a fencing token. */
export type FencingTokenState<Value> =
    /** The token has never been dispatched here, and may run. */
    | { kind: "unseen"; }
    /** The token will never run. */
    | { kind: "forbidden"; }
    /** The token has been dispatched here. */
    | { kind: "seen"; value: Value; }
    /** The token is at or below the highest discarded one: it may have run, and will not run now. */
    | { kind: "forgotten"; };
