/*
 * The run log that the replicas of one service share; it shows whether a call was run more than once.
 */

/** The log of a service's runs. */
export interface RunLog {
    /**
     * Adds a run.
     * @param action - The action, `release` or `publish`.
     * @param key - The key that the action was run on.
     * @param requestId - The request's id.
     * @returns The number of runs of the action on the key so far.
     */
    addRun(action: string, key: string, requestId: string): Promise<number>;
    /** Gets the number of runs of an action on a key. */
    getRuns(action: string, key: string): Promise<number>;
}
