/*
 * An entry of the run log.
 */

/** One run of an action. */
export interface RunLogEntry {
    /** The action, `release` or `publish`. */
    action: string;
    /** The key that the action was run on. */
    key: string;
    /** The request's id. */
    requestId: string;
}
