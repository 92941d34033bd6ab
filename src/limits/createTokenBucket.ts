/*
 * A token bucket that starts empty. Its rate and capacity are passed with each call, since settings may change them.
 */
import { Clock } from "../runtime";
import { TokenBucket } from "./TokenBucket";

const millisecondsPerSecond = 1_000;

/**
 * Creates an empty bucket.
 * @param clock - The clock by which the bucket refills.
 */
export function createTokenBucket(clock: Clock): TokenBucket {
    let amount = 0;
    let lastRefillMilliseconds = clock.getMonotonicMilliseconds();
    return { getAvailable, take };

    function getAvailable(refillPerSecond: number, capacity: number): number {
        const now = clock.getMonotonicMilliseconds();
        const refill = (now - lastRefillMilliseconds) * refillPerSecond / millisecondsPerSecond;
        lastRefillMilliseconds = now;
        amount = Math.min(capacity, amount + refill);
        return amount;
    }

    function take(taken: number): void {
        amount -= taken;
    }
}
