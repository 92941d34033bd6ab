/*
 * The lanes of an engine's prefills, the most urgent first. The engine is given the lane as its priority.
 */

/** How a prefill stands to others at the same engine. */
export enum Lane {
    /** A short prefill, which goes before all others. */
    Short = 0,
    /** A long prefill that someone waits for, which goes before those that can wait. */
    Urgent = 1,
    /** A long prefill that can wait. */
    Deferred = 2,
}
