/*
 * The search of one request for the companion that serves it soonest.
 */
import { RouteEstimate } from "./RouteEstimate";
import { RouteStep } from "./RouteStep";

/** Decides where one request goes next. */
export interface RouteSearch {
    /** Gets the next companion to send the request to; undefined where every one has been tried. */
    getNext(): RouteStep | undefined;
    /** Notes that a companion refused in favour of a sibling, and at what cost it would have taken the request. */
    addEstimate(instanceId: string, estimate: RouteEstimate): void;
    /** Notes that a companion will not take the request at all. */
    exclude(instanceId: string): void;
}
