/*
 * The names of the unnumbered files of a log's folder.
 */

/** The name of a file that a log's folder holds only once. */
export enum StorageFileName {
    /** The member identity. */
    Identity = "identity",
    /** The term and vote. */
    HardState = "state",
}
