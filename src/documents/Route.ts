/*
 * A route assigns the requests of a host and path prefix to services, with their time limits and retry rules.
 */
import { RouteKind } from "./RouteKind";
import { WeightedService } from "./WeightedService";

/** A route of a routing document. */
export interface Route {
    /** The route's name. */
    name: string;
    /** The host of the requests, compared without regard to case. */
    host: string;
    /** The prefix of the requests' paths; begins and ends with a slash. */
    pathPrefix: string;
    /** Whether the requests may be retried, and how they are answered. */
    kind: RouteKind;
    /** The maximum time that a caller waits, in milliseconds. */
    timeoutMilliseconds: number;
    /** The latency objective, in milliseconds; for streams, up to the first event. */
    targetLatencyMilliseconds: number;
    /** The priority among routes; 0 is the most urgent. */
    priority: number;
    /** The services among which the requests are distributed. */
    services: readonly WeightedService[];
    /** The maximum number of backend servers to which one request is sent. */
    maximumAttempts: number;
    /** Whether requests need no API key. */
    isPublic: boolean;
    /** Whether an interrupted stream may continue at another backend server. */
    isResumable: boolean;
    /**
     * The maximum time between events with which a response still counts as on time, in milliseconds; undefined if the
     * route has no such objective.
     */
    targetEventGapMilliseconds: number | undefined;
}
