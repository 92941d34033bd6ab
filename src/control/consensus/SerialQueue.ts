/*
 * A queue that runs asynchronous tasks without overlap.
 */

/** Runs tasks one at a time, in the order in which they were added. */
export interface SerialQueue {
    /**
     * Runs a task after all tasks added before it, whether those succeed or fail.
     * @param task - The task.
     * @returns The task's result.
     */
    run<T>(task: () => Promise<T>): Promise<T>;
}
