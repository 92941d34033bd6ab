/*
 * The source that an engine loads weights from.
 */

/** A source of weights. */
export interface WeightSource {
    /**
     * Fetches the weights of a model version or of an adapter.
     * @param name - `model/version` or `model/adapters/adapter`.
     * @param signal - Cancels the fetch.
     * @returns Whether the weights were fetched.
     */
    fetch(name: string, signal: AbortSignal): Promise<boolean>;
}
