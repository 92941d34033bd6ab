/*
 * The cost of work at one backend server.
 */

/** Estimates costs and adapts its parameters to the requests that have run. */
export interface CostModel {
    /** Gets the duration of a prefill in milliseconds. */
    getPrefillMilliseconds(uncachedTokens: number): number;
    /**
     * Estimates the cost of a request before it runs, in milliseconds of the backend server.
     * @param uncachedTokens - The number of prompt tokens to be computed.
     * @param maximumTokens - The limit on the length of the response.
     */
    getChargeMilliseconds(uncachedTokens: number, maximumTokens: number): number;
    /**
     * Gets the cost of a request that has run, in milliseconds of the backend server.
     * @param uncachedTokens - The number of prompt tokens that were computed.
     * @param completionTokens - The length of the response.
     */
    getActualMilliseconds(uncachedTokens: number, completionTokens: number): number;
    /** Gets how long a request occupies its slot on average, in milliseconds. */
    getAverageRunMilliseconds(): number;
    /** Records the start of a prefill. */
    beginPrefill(): void;
    /** Records the end of a prefill and the number of tokens that it computed. */
    endPrefill(uncachedTokens: number): void;
    /**
     * Records a request that has ended.
     * @param runMilliseconds - How long the request occupied its slot.
     * @param completionTokens - The length of the response; undefined if it is unknown.
     */
    addRun(runMilliseconds: number, completionTokens: number | undefined): void;
}
