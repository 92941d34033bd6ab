/*
 * The roles that a process can have.
 */

/** A role of a process. */
export enum Role {
    /** The gateway that callers send requests to. */
    Entry = "entry",
    /** The process beside one backend server; settings and the wire call it "companion". */
    Sidecar = "companion",
    /** A member of the replicated log, which operators connect to. */
    Control = "control",
}
