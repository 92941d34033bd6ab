/*
 * Where a prompt's shared beginning may be found.
 */
import { FleetInstance } from "../protocol";

/** The engines that may hold a beginning. */
export interface PrefixSources {
    /** Whether the chosen engine read it lately itself. */
    isHeld: boolean;
    /** Another engine to which this entry sent it lately. */
    known: FleetInstance | undefined;
    /** Another engine that is likely to hold it, by the hashing that all entries share. */
    likely: FleetInstance | undefined;
}
