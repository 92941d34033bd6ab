/*
 * The callers of a soak.
 */

/** Traffic, and what became of it. */
export interface SoakCallers {
    /** Gets how many of the requests that were sent within a span were served, and how many were sent. */
    getServedCounts(fromMilliseconds: number, toMilliseconds: number): { served: number; sent: number; };
    /** Sends nothing more, and waits for the last answers. */
    stop(): Promise<void>;
}
