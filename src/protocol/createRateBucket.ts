/*
 * Bounds how often something happens, with a reserve for bursts.
 */
import { Clock } from "../runtime";

/** A rate that is kept by counting. */
interface RateBucket {
    /** Takes one from the reserve; false where it is used up. */
    tryTake(): boolean;
    /** Whether the reserve is full, so that nothing needs to be remembered. */
    isFull(): boolean;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a rate.
 * @param refillPerSecond - How often it may happen in a second, in the long run.
 * @param capacity - How often it may happen at once after a pause.
 * @param clock - The passing of time.
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
