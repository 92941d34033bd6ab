/*
 * A rate limiter with a token bucket for each key, which tracks a limited number of keys.
 */
import { LRUCache } from "lru-cache";
import { RateLimiter } from "./RateLimiter";
import { RateLimiterOptions } from "./RateLimiterOptions";

const millisecondsPerSecond = 1_000;

/** The state of a key's bucket. */
interface Bucket {
    /** The number of uses that were left at the last update; may be fractional. */
    remainingUses: number;
    /** The monotonic time of the last update, in milliseconds. */
    updatedMilliseconds: number;
}

/**
 * Creates a limiter on which every key starts with its full burst.
 * @param options - The limits.
 */
export function createRateLimiter(options: RateLimiterOptions): RateLimiter {
    const { burst, usesPerSecond, maximumKeys, clock } = options;
    const buckets = new LRUCache<string, Bucket>({ max: maximumKeys });
    return { getWaitMilliseconds, addUse };

    function getWaitMilliseconds(key: string): number {
        const missingUses = 1 - getRemainingUses(key);
        return missingUses <= 0 ? 0 : Math.ceil(missingUses / usesPerSecond * millisecondsPerSecond);
    }

    function addUse(key: string): void {
        const remainingUses = Math.max(0, getRemainingUses(key) - 1);
        buckets.set(key, { remainingUses, updatedMilliseconds: clock.getMonotonicMilliseconds() });
    }

    function getRemainingUses(key: string): number {
        const bucket = buckets.get(key);
        if (bucket === undefined) {
            return burst;
        }
        const elapsedMilliseconds = clock.getMonotonicMilliseconds() - bucket.updatedMilliseconds;
        return Math.min(burst, bucket.remainingUses + elapsedMilliseconds / millisecondsPerSecond * usesPerSecond);
    }
}
