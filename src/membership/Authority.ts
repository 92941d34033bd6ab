/*
 * Declares the check by which a process decides whether it may act on its copy of the configuration.
 */

/** Decides whether the local copy of the configuration is known to be in force. */
export interface Authority {
    /**
     * Returns whether the lease that the control members granted is still valid, and the local configuration is as new
     * as the lease requires and as any revision seen at another process.
     */
    isLeaseFresh(): boolean;
    /**
     * Returns whether this process may act without relying on another process's lease: its own lease is valid, or a
     * majority of the region's sidecars has confirmed its revision. A dispatch carries this in `senderLeaseFresh`.
     */
    hasOwnAuthority(): boolean;
    /** Gets the revision of the local configuration. */
    getRevision(): bigint;
    /**
     * Records a revision seen at another process. A newer one makes this process stale until it has caught up.
     * @param revision - The revision that the other process holds.
     */
    addSeenRevision(revision: bigint): void;
    /**
     * Decides whether work may be admitted now. Asks sidecars for confirmation when the lease has expired.
     * @returns Whether the local configuration is known to be the newest, or a sidecar with a valid lease can establish
     * that: `isDispatchAllowed` makes the final decision at that sidecar.
     */
    checkAuthority(): Promise<boolean>;
}
