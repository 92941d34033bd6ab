/*
 * The next companion to send a request to.
 */
import { ProcessRecord } from "../protocol";

/** One step of a route search. */
export interface RouteStep {
    /** The companion. */
    sidecar: ProcessRecord;
    /** Whether it may refuse in favour of a sibling. */
    mayRedirect: boolean;
    /** The cost in milliseconds up to which it should take the request; undefined where it decides alone. */
    acceptBelowMilliseconds: number | undefined;
}
