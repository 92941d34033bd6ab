/*
 * The engines that may hold a shared prefix of a prompt.
 */
import { FleetInstance } from "../protocol";

/** A prefix, and the engines to which this entry process sent it. */
export interface PrefixHolders {
    /** The number of the prefix's parts. */
    partCount: number;
    /** Another engine that received it recently enough to hold it still. */
    recent: FleetInstance | undefined;
    /**
     * Another engine that received it longer ago and may have evicted it since; the same as `recent` where that is set.
     */
    former: FleetInstance | undefined;
}
