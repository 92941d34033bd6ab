/*
 * The next destination of a request.
 */
import { ProcessRecord } from "../protocol";

/** One step of a route search. */
export interface RouteStep {
    /** The record of the sidecar to send the request to. */
    sidecar: ProcessRecord;
    /** Whether the sidecar may refuse the request in favour of a sibling. */
    mayRedirect: boolean;
    /** The highest cost in milliseconds to accept the request at; undefined where the sidecar uses its own limit. */
    acceptBelowMilliseconds: number | undefined;
}
