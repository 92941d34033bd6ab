/*
 * One route of a plain service.
 */

/** A method and path of a service, with the statement whether its calls are idempotent. */
export interface ServiceRoute {
    /** The HTTP method. */
    method: string;
    /** The path within the service, with a leading slash; a trailing `*` matches any suffix. */
    path: string;
    /** Whether calls of the route may be repeated. */
    idempotent: boolean;
}
