/*
 * The speeds of a simulated engine.
 */

/** The speeds of an engine's prefill and decode. */
export interface EngineSpeeds {
    /** The number of prompt tokens prefilled per second. */
    prefillTokensPerSecond: number;
    /** The number of prompt tokens prefilled before a request of higher priority can preempt the prefill. */
    prefillChunkTokens: number;
    /** The duration of a decode step for one request, in milliseconds. */
    decodeStepMilliseconds: number;
    /** The additional duration of a decode step for each further request in the batch, in milliseconds. */
    decodeStepMillisecondsPerRequest: number;
}
