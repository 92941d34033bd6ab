/*
 * The limits of a routing document of a soak, which changes of the document may change.
 */

/** The limits for callers, and the time limits of the routes. */
export interface SoakLimits {
    maximumBodyBytes: number;
    headerTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
    /** The time limit of each route by its prefix, in milliseconds. */
    routeTimeouts: Readonly<Record<string, number>>;
}
