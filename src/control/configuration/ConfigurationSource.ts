/*
 * The configuration as those read it who pass it on to entries and sidecars.
 */
import { ConfigurationDelta, ConfigurationSnapshot } from "../../protocol";

/** A control member's own copy of the configuration, as far as its log is applied. */
export interface ConfigurationSource {
    /** Gets the revision; 0 for a tree that was never changed. */
    getRevision(): bigint;
    /** Gets the whole tree; the same message until the next change. */
    getSnapshot(): ConfigurationSnapshot;
    /**
     * Gets the changes that lead on from a revision, oldest first.
     * @returns The changes, none for the newest revision; undefined where a snapshot is needed instead.
     */
    getDeltasSince(revision: bigint): ConfigurationDelta[] | undefined;
    /**
     * Adds a listener that is called with each new revision, also after a snapshot was restored.
     * @returns A function that removes the listener.
     */
    addListener(listener: (revision: bigint) => void): () => void;
}
