/*
 * One of the services among which the requests of a route are distributed.
 */

/** A service and its weight. */
export interface WeightedService {
    /** The service's name. */
    service: string;
    /** The share of the requests that the service receives, relative to the weights of the route's other services. */
    weight: number;
}
