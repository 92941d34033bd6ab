/*
 * Faults to inject into an engine's responses, to test how clients detect them.
 */

/** The shares of responses that have a fault, each from 0 to 1. */
export interface EngineFaults {
    /** Responses that carry another request's id. */
    crossedShare?: number;
    /** Responses that end without their last chunks. */
    truncatedShare?: number;
    /** Responses that start late. */
    lateShare?: number;
    /** The delay of late responses, in milliseconds. */
    lateMilliseconds?: number;
}
