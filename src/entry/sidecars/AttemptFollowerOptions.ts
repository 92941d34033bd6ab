/*
 * The options for following an attempt.
 */
import { Metrics } from "../../metrics";
import { Clock, RandomSource } from "../../runtime";
import { SidecarLink } from "./SidecarLink";

/** What following an attempt uses of the entry's parts. */
export interface AttemptFollowerOptions {
    /** Calls sidecars. */
    link: SidecarLink;
    /** Measures timeouts and delays. */
    clock: Clock;
    /** Gives the jitter of retry delays. */
    random: RandomSource;
    /** Counts resumed and broken streams, and events that arrive late or belong to another request. */
    metrics: Metrics;
}
