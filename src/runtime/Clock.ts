/*
 * Time, injected everywhere so that tests can control it.
 */

/** Reads the time and waits. */
export interface Clock {
    /** Gets the wall clock time in milliseconds since the Unix epoch. */
    getWallMilliseconds(): number;
    /** Gets a monotonic time in milliseconds since an arbitrary start. */
    getMonotonicMilliseconds(): number;
    /**
     * Waits for a duration.
     * @param milliseconds - The duration, in milliseconds.
     * @param signal - Ends the wait early when aborted; the promise is resolved, not rejected.
     */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}
