/*
 * Where the requests of a host and path go, and within which bounds.
 */
import { RouteKind } from "./RouteKind";
import { WeightedService } from "./WeightedService";

/** A route of a routing document. */
export interface Route {
    /** The route's name. */
    name: string;
    /** The host that requests name. */
    host: string;
    /** What their path begins with; begins and ends with a slash. */
    pathPrefix: string;
    /** What may be repeated. */
    kind: RouteKind;
    /** How long a caller is kept waiting at most, in milliseconds. */
    timeoutMilliseconds: number;
    /** The latency objective, up to the first event for streams, in milliseconds. */
    targetLatencyMilliseconds: number;
    /** The rank among routes; 0 is the most urgent. */
    priority: number;
    /** The services that share the requests. */
    services: readonly WeightedService[];
    /** To how many backend servers one request may be sent. */
    maximumAttempts: number;
    /** Whether requests need no key. */
    isPublic: boolean;
    /** Whether a broken stream may go on at another backend server. */
    isResumable: boolean;
    /** The longest pause between events for which an answer is still on time, in milliseconds. */
    targetEventGapMilliseconds: number | undefined;
}
