/*
 * What a sidecar knows of a claim's number.
 */

/** The state of a claim's number. */
export type FencingTokenState<Value> =
    /** The number has never come, and may run. */
    | { kind: "unseen"; }
    /** The number will never run. */
    | { kind: "forbidden"; }
    /** The number has come. */
    | { kind: "seen"; value: Value; }
    /** The number lies below what is remembered: it may have run, and will not run now. */
    | { kind: "forgotten"; };
