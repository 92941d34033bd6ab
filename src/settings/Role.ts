/*
 * What a process does.
 */

/** The roles of a process. */
export enum Role {
    Entry = "entry",
    Sidecar = "companion",
    Control = "control",
}
