/*
 * The simulated callers of a soak.
 */

/** Traffic of callers, with a count of its outcomes. */
export interface SoakCallers {
    /**
     * Gets how many requests were sent within a period, and how many of these were served. Requests of the tenant whose
     * key may be revoked don't count.
     * @param fromMilliseconds - The start of the period, in milliseconds since the epoch.
     * @param toMilliseconds - The end of the period, exclusive, in milliseconds since the epoch.
     */
    getServedCounts(fromMilliseconds: number, toMilliseconds: number): { served: number; sent: number; };
    /** Gets how many attempts to resume a stream were sent, and how many of these were answered with events. */
    getResumptionCounts(): { served: number; sent: number; };
    /** Stops sending, and waits for the pending responses. */
    stop(): Promise<void>;
}
