/*
 * The sidecars of the region whose majority may vouch, as one process knows them.
 */
import { CompanionSet } from "../protocol";

/** A process's copy of the set of sidecars. */
export interface SidecarSetView {
    /** Gets the set's number; 0 before the first has come. */
    getNumber(): bigint;
    /** Gets the instance ids in the set. */
    getInstanceIds(): ReadonlySet<string>;
    /** Takes in a set, unless a newer one is held. */
    apply(set: CompanionSet): void;
    /** Gets the set as a message. */
    getSet(): CompanionSet;
}
