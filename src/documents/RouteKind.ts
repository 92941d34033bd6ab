/*
 * Whether the requests of a route may be retried, and how they are answered.
 */

/** The kinds of routes, by what their requests allow. */
export enum RouteKind {
    /** A request may run more than once. */
    Idempotent = "idempotent",
    /** A request runs at most once. */
    NonIdempotent = "nonIdempotent",
    /** A request is answered by a stream of events; it is idempotent only if the route is resumable. */
    Stream = "stream",
}
