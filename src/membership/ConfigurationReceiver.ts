/*
 * Declares how a process updates its copy of the configuration tree.
 */
import { ConfigurationDelta, ConfigurationSnapshot } from "../protocol";

/** A copy of the configuration tree whose revision never decreases. */
export interface ConfigurationReceiver {
    /** Gets the revision of the copy; 0 before the first snapshot has arrived. */
    getRevision(): bigint;
    /** Gets the whole tree. */
    getSnapshot(): ConfigurationSnapshot;
    /** Replaces the tree, unless the copy is newer. */
    applySnapshot(snapshot: ConfigurationSnapshot): unknown;
    /** Applies one change if it directly follows the revision of the copy. */
    applyDelta(delta: ConfigurationDelta): unknown;
}
