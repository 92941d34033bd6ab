/*
 * Tracks the prefill of shared prefixes.
 */

/** Tracks to which engines this entry process sent which prefixes. */
export interface PrefillTracker {
    /**
     * Records that an engine is about to prefill prefixes.
     * @param requestId - The request that causes the prefill.
     * @param keys - The keys of the prefixes.
     * @param instanceId - The engine's id.
     */
    recordPrefillStart(requestId: string, keys: readonly string[], instanceId: string): void;
    /** Records that the prefill caused by a request has ended, or will not take place. */
    recordPrefillEnd(requestId: string): void;
    /**
     * Returns whether an engine is prefilling a prefix or received it recently, so that it is likely to be cached
     * there.
     */
    isLikelyCached(key: string, instanceId: string): boolean;
    /**
     * Gets the ids of the engines that received a prefix recently, the latest first.
     * @param key - The prefix's key.
     * @param maximumAgeMilliseconds - How long ago at most, in milliseconds.
     */
    getHolders(key: string, maximumAgeMilliseconds: number): readonly string[];
    /**
     * Gets a promise that resolves at the end of a prefix's prefill in flight at any engine; undefined where there is
     * none.
     */
    getPrefillInFlight(key: string): Promise<void> | undefined;
}
