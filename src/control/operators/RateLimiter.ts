/*
 * Limits the rate of uses for each of many keys.
 */

/** A rate limit for each key. */
export interface RateLimiter {
    /**
     * Gets the time until a key's next use is allowed, in milliseconds; 0 if it is allowed now.
     * @param key - The key, such as an address or an operator's name.
     */
    getWaitMilliseconds(key: string): number;
    /**
     * Counts one use of a key, whether or not it is allowed.
     * @param key - The key.
     */
    addUse(key: string): void;
}
