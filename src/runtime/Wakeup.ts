/*
 * Notifications between two tasks of a process.
 */

/** A notification that stays pending until the other task waits for it. */
export interface Wakeup {
    /** Wakes the waiting task; while no task waits, the next wait returns immediately. */
    wake(): void;
    /**
     * Waits until woken or until a timeout.
     * @param milliseconds - The timeout, in milliseconds.
     * @returns Whether the task was woken.
     */
    wait(milliseconds: number): Promise<boolean>;
}
