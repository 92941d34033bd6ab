/*
 * The lanes of an engine's prefills, the most urgent first. The engine gets the number of the lane as the priority.
 */

/** The urgency of a prefill among those of the same engine. */
export enum Lane {
    /** A short prefill, which takes precedence over all long ones. */
    Short = 0,
    /** A long prefill of a request that is not deferred, which takes precedence over deferred ones. */
    Urgent = 1,
    /** A long prefill of a deferred request. */
    Deferred = 2,
}
