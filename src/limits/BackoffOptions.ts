/*
 * The inputs of a backoff.
 */
import { Clock, RandomSource } from "../runtime";

/** The options of a backoff. */
export interface BackoffOptions {
    /** The clock of the deadline. */
    clock: Clock;
    /** The source of the jitter, which separates retries that would otherwise be simultaneous. */
    random: RandomSource;
    /** The request's deadline, on the monotonic clock. */
    deadlineMilliseconds: number;
    /** The upper limit of the first random delay, which doubles with each retry; optional. */
    baseDelayMilliseconds?: number;
    /** The upper limit of every random delay, to which a refusal's minimum is added; optional. */
    maximumDelayMilliseconds?: number;
}
