/*
 * Randomness, injected everywhere so that a seed repeats a run.
 */

/** Gives random numbers. */
export interface RandomSource {
    /** Gets a number from 0 up to, but without, 1. */
    getFraction(): number;
    /** Gets a whole number from 0 up to, but without, the bound. */
    getInteger(limit: number): number;
}
