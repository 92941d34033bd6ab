/*
 * What a backoff is made from.
 */
import { Clock, RandomSource } from "../runtime";

/** The options of a backoff. */
export interface BackoffOptions {
    /** The clock that the deadline is on. */
    clock: Clock;
    /** Spreads retries that would come together. */
    random: RandomSource;
    /** When the request is of no more use, on the monotonic clock. */
    deadlineMilliseconds: number;
    /** The longest first wait; it doubles with each retry. */
    baseDelayMilliseconds?: number;
    /** The longest wait. */
    maximumDelayMilliseconds?: number;
}
