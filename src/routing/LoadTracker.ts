/*
 * What an entry remembers of companions' load.
 */
import { RoutingObservation } from "./RoutingObservation";

/** Load as one entry has seen it lately. */
export interface LoadTracker {
    /** Takes in a note. */
    addObservation(observation: RoutingObservation): void;
    /** Gets a wait to expect at an instance in milliseconds, from its last words and from what this entry sent it. */
    getExpectedWaitMilliseconds(instanceId: string): number;
    /** Tells whether the instance failed a request lately. */
    hasFailedRecently(instanceId: string): boolean;
}
