/*
 * The result of an attempt to lock a folder.
 */

/** The outcome of locking a folder. */
export type LockOutcome =
    /** This process holds the lock until it calls the function. */
    | { kind: "locked"; release: () => Promise<void>; }
    /** Another process holds the lock. */
    | { kind: "taken"; processId: number; };
