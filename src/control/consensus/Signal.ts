/*
 * A condition variable for asynchronous tasks.
 */

/** Wakes the tasks that wait for a change. */
export interface Signal {
    /** Wakes all tasks that are waiting. */
    notify(): void;
    /**
     * Waits for the next notification.
     * @param milliseconds - The maximum wait in milliseconds; without it, only a notification ends the wait.
     */
    wait(milliseconds?: number): Promise<void>;
}
