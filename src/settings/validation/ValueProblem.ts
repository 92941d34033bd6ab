/*
 * A problem of a JSON value, as shown to the person who wrote the value.
 */

/** A value that differs from what is expected. */
export interface ValueProblem {
    /** The value's path, such as `listeners.internal.port`; empty for the whole document. */
    path: string;
    /** A description of the found value, with secrets hidden. */
    found: string;
    /** A description of the expected value. */
    expected: string;
    /** The most similar known name, where the name seems to be misspelt. */
    nearest?: string;
}
