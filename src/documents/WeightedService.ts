/*
 * One of the services that share the requests of a route.
 */

/** A service and its share. */
export interface WeightedService {
    /** The service's name. */
    service: string;
    /** The share of requests that it receives, relative to the other services' weights. */
    weight: number;
}
