/*
 * What may be repeated of the requests of a route.
 */

/** The kinds of routes. */
export enum RouteKind {
    /** May run more than once. */
    Idempotent = "idempotent",
    /** Runs once at most. */
    NonIdempotent = "nonIdempotent",
    /** Answered by a stream of events; idempotent only where the route is resumable. */
    Stream = "stream",
}
