/*
 * Declares a process's copy of the region's sidecar set, whose majority can confirm the configuration.
 */
import { CompanionSet } from "../protocol";

/** A process's copy of the sidecar set. */
export interface SidecarSetView {
    /** Gets the set's number; 0 before the first set has arrived. */
    getNumber(): bigint;
    /** Gets the instance ids in the set. */
    getInstanceIds(): ReadonlySet<string>;
    /** Replaces the set, unless the copy is as new or newer. */
    apply(set: CompanionSet): void;
    /** Gets the set as a protocol message. */
    getSet(): CompanionSet;
}
