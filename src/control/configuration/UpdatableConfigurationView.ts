/*
 * The writable side of a configuration view, for the task that receives updates from control members.
 */
import { ConfigurationDelta, ConfigurationSnapshot } from "../../protocol";
import { ConfigurationView } from "./ConfigurationView";
import { ViewUpdateOutcome } from "./ViewUpdateOutcome";

/** A configuration view that can be updated; its revision never decreases. */
export interface UpdatableConfigurationView extends ConfigurationView {
    /** Replaces the whole tree if the snapshot is newer than the view. */
    applySnapshot(snapshot: ConfigurationSnapshot): ViewUpdateOutcome;
    /** Applies a change if it directly follows the view's revision. */
    applyDelta(delta: ConfigurationDelta): ViewUpdateOutcome;
    /** Gets the whole tree, for relaying to a process that can't reach a control member. */
    getSnapshot(): ConfigurationSnapshot;
    /** Gets the paths of all levels, sorted. */
    getLevelPaths(): readonly string[];
    /**
     * Adds a listener that is called after each new revision.
     * @param listener - Receives the new revision.
     * @returns A function that removes the listener.
     */
    addListener(listener: (revision: bigint) => void): () => void;
}
