/*
 * What following an attempt needs.
 */
import { Metrics } from "../../metrics";
import { Clock, RandomSource } from "../../runtime";
import { SidecarLink } from "./SidecarLink";

/** The options of following an attempt. */
export interface AttemptFollowerOptions {
    /** The connections to sidecars. */
    link: SidecarLink;
    /** The passing of time. */
    clock: Clock;
    /** Randomness, for pauses. */
    random: RandomSource;
    /** What is counted. */
    metrics: Metrics;
}
