/*
 * The slot that a running request occupies at its backend server.
 */

/** A running request's slot. */
export interface RunningSlot {
    /** The priority to give to the engine, lower numbers first; the request's own priority if absent. */
    readonly enginePriority?: number;
    /** Records that the first token has arrived, which ends the prefill. */
    recordFirstToken(): void;
    /**
     * Frees the slot and corrects the estimated charge to the actual usage.
     * @param usage - The tokens that the request used; undefined if unknown.
     */
    release(usage: { promptTokens: number; cachedTokens: number; completionTokens: number; } | undefined): void;
}
