/*
 * Random numbers, injected everywhere so that a run can be repeated with the same seed.
 */

/** A generator of random numbers. */
export interface RandomSource {
    /** Gets a number from 0, inclusive, to 1, exclusive. */
    getFraction(): number;
    /**
     * Gets an integer from 0, inclusive.
     * @param limit - The exclusive upper limit.
     */
    getInteger(limit: number): number;
}
