/*
 * Which of a sidecar's orders stand, as JSON carries it.
 */

/** The answer to an orders query, all as of one place in the log. */
export interface OrdersResponse {
    /** The highest number given to any order of any sidecar, in decimal. */
    lastNumber: { term: string; index: string; };
    /** The number of the sidecar's order that stands; undefined where none does. */
    openNumber: { term: string; index: string; } | undefined;
}
