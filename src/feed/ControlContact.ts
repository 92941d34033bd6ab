/*
 * What an entry process knows of its contact with control, and of the other entry processes.
 */

/** The contact of an entry process with control. */
export interface ControlContact {
    /**
     * Records a response.
     * @param entryCount - The number of entry processes that the responding member knows.
     */
    recordResponse(entryCount: number): void;
    /** Gets the number of entry processes that share the limits of the system; at least 1. */
    getEntryCount(): number;
    /**
     * Gets the time at which the contact began, on the monotonic clock, in milliseconds; undefined before the first response, and
     * once the last one is so old that control no longer counts this process.
     */
    getStartMilliseconds(): number | undefined;
}
