/*
 * Whether this process may act on the configuration that it holds.
 */

/** Tells whether the configuration held is known to be in force. */
export interface Authority {
    /** Whether the lease that the control members granted still runs. */
    isLeaseFresh(): boolean;
    /**
     * Whether this process may act by its own right: its lease runs, or a majority of the region's sidecars has
     * vouched for it. A dispatch says so to the sidecar, in `senderLeaseFresh`.
     */
    hasOwnAuthority(): boolean;
    /** Gets the configuration revision held. */
    getRevision(): bigint;
    /**
     * Notes a revision seen at another process. A newer one makes this process stale until it has caught up.
     */
    addSeenRevision(revision: bigint): void;
    /**
     * Decides whether work may be admitted now. Asks sidecars to vouch where the lease has lapsed.
     * @returns Whether the configuration held is known to be the newest, or may be found so by a sidecar whose lease
     * runs: `isDispatchAllowed` at that sidecar has the last word.
     */
    checkAuthority(): Promise<boolean>;
}
