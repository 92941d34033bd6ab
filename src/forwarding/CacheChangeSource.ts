/*
 * Polls KV cache stores for changes, independent of the protocol that they speak.
 */
import { CacheChanges } from "./CacheChanges";

/** Polls KV cache stores for their changes. */
export interface CacheChangeSource {
    /**
     * Gets the changes after a position with a long poll: resolves once there are some or the wait has ended.
     * @param address - The store's address, as `ip:port`.
     * @param position - Where the last response ended; 0 to start at the beginning.
     * @param waitMilliseconds - How long the store waits for changes, in milliseconds.
     * @param signal - Ends the poll.
     * @returns The changes, or undefined where the store does not respond.
     */
    getChanges(
        address: string,
        position: number,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<CacheChanges | undefined>;
}
