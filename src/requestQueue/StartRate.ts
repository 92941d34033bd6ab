/*
 * The rate at which an entry process starts requests.
 */

/** The measured rate of starts while requests wait. */
export interface StartRate {
    /** Records that a request of an amount of work is started. */
    recordStart(work: number): void;
    /** Records that no request waits any more, so that the time until the next start says nothing. */
    recordIdle(): void;
    /** Gets the mean interval between starts for one unit of work, in milliseconds; undefined before the first interval. */
    getIntervalMilliseconds(): number | undefined;
    /** Returns whether enough intervals were measured to refuse requests by their mean. */
    isKnown(): boolean;
    /** Gets the time since the last start, in milliseconds; undefined where no request has been started since none waited. */
    getAgeMilliseconds(): number | undefined;
}
