/*
 * A running request's hold on its backend server.
 */

/** The place of a running request. */
export interface RunningSlot {
    /** The priority to give to the engine, a lower number first; the request's own where absent. */
    readonly enginePriority?: number;
    /** Tells that the first token has come, so that prefill is over. */
    recordFirstToken(): void;
    /**
     * Frees the place and corrects what was charged for it.
     * @param usage - What the request used; undefined where it is not known.
     */
    release(usage: { promptTokens: number; cachedTokens: number; completionTokens: number; } | undefined): void;
}
