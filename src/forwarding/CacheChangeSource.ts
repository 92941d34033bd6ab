/*
 * Where changes of caches are asked for, behind whatever protocol they speak.
 */
import { CacheChanges } from "./CacheChanges";

/** Asks caches for their changes. */
export interface CacheChangeSource {
    /**
     * Gets the changes behind a position, once there are some or the wait is over.
     * @param address - The cache's address, as `ip:port`.
     * @param position - Where the last answer ended; 0 for the beginning.
     * @param waitMilliseconds - How long the cache waits for changes, in milliseconds.
     * @returns The changes, or undefined where the cache does not answer.
     */
    getChanges(
        address: string,
        position: number,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<CacheChanges | undefined>;
}
