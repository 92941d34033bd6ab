/*
 * The options of a rate limiter.
 */
import { Clock } from "../../runtime";

/** The options of a rate limiter. */
export interface RateLimiterOptions {
    /** The number of uses that a key may make at once after a pause. */
    burst: number;
    /** The sustained rate of a key, in uses per second. */
    usesPerSecond: number;
    /** The maximum number of keys that are tracked; the least recently used one is evicted first. */
    maximumKeys: number;
    /** The clock by which the limits refill. */
    clock: Clock;
}
