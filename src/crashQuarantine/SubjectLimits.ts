/*
 * How much evidence a subject of one kind needs.
 */

/** The limits of one kind of subjects. */
export interface SubjectLimits {
    /** How long a crash is evidence, in milliseconds. */
    evidenceLifetimeMilliseconds: number;
    /** The number of crashes at which a subject is guilty if no other one is accused of the same crashes as often. */
    guiltyCrashes: number;
    /** The number of crashes at which a subject is guilty even if others are accused as often. */
    ambiguousGuiltyCrashes: number;
    /** Crashes of several backend servers that lie closer together count once, in milliseconds. */
    commonCauseMilliseconds: number;
    /** The number of completions for each crash at which a subject is sound. */
    soundCompletionsPerCrash: number;
    /** The minimum share of a subject among the crashes since it was first in flight at one. */
    minimumCrashShare: number;
}
