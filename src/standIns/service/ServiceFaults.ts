/*
 * Faults to inject into a service's responses.
 */

/** The shares of calls that have a fault, each from 0 to 1. */
export interface ServiceFaults {
    /** Calls whose connection is reset after they run. */
    resetAfterRunShare?: number;
    /** Calls whose connection is reset before they run. */
    resetBeforeRunShare?: number;
    /** Responses that carry another request's id. */
    crossedShare?: number;
    /** Responses that are shorter than their content length. */
    truncatedShare?: number;
    /** Responses that are late. */
    lateShare?: number;
    /** The delay of late responses, in milliseconds. */
    lateMilliseconds?: number;
}
