/*
 * A rate limit by token bucket.
 */

/** A token bucket. */
export interface TokenBucket {
    /**
     * Gets the available amount; negative where more was taken than was available.
     * @param refillPerSecond - The refill rate since the previous call.
     * @param capacity - The highest amount that the bucket holds.
     */
    getAvailable(refillPerSecond: number, capacity: number): number;
    /**
     * Takes an amount, whether or not it is available.
     * @param amount - The amount to take.
     */
    take(amount: number): void;
}
