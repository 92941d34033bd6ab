/*
 * Limits a rate with a token bucket, which starts full and allows bursts up to its capacity.
 */
import { Clock } from "../runtime";

/** A token bucket with a fixed refill rate and capacity. */
interface RateBucket {
    /** Takes one token; returns false if none is available. */
    tryTake(): boolean;
    /** Tells whether the bucket is full, so that it can be discarded and replaced by a new one later. */
    isFull(): boolean;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a full bucket.
 * @param refillPerSecond - The sustained rate, in tokens per second.
 * @param capacity - The number of tokens that can be taken at once after a pause.
 * @param clock - The clock by which the bucket refills.
 */
export function createRateBucket(refillPerSecond: number, capacity: number, clock: Clock): RateBucket {
    let available = capacity;
    let lastRefillMilliseconds = clock.getMonotonicMilliseconds();
    return { tryTake, isFull };

    function tryTake(): boolean {
        refill();
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }

    function isFull(): boolean {
        refill();
        return available >= capacity;
    }

    function refill(): void {
        const now = clock.getMonotonicMilliseconds();
        const refilled = (now - lastRefillMilliseconds) * refillPerSecond / millisecondsPerSecond;
        available = Math.min(capacity, available + refilled);
        lastRefillMilliseconds = now;
    }
}
