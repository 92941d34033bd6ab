/*
 * What a process does.
 */

/** The roles of a process. */
export enum Role {
    Entry = "entry",
    /** The sidecar, which the settings and the wire call "companion". */
    Sidecar = "companion",
    Control = "control",
}
