/*
 * The configuration as the tasks read it that distribute it to entry processes and sidecars.
 */
import { ConfigurationDelta, ConfigurationSnapshot } from "../../protocol";

/** A control member's own copy of the configuration, up to the last log entry that it has applied. */
export interface ConfigurationSource {
    /** Gets the revision; 0 before the first change. */
    getRevision(): bigint;
    /** Gets the whole tree; the same message object is returned until the next change. */
    getSnapshot(): ConfigurationSnapshot;
    /**
     * Gets the changes after a revision, oldest first.
     * @param revision - The revision that the receiver holds.
     * @returns The changes, none for the newest revision; undefined if the receiver needs a snapshot instead.
     */
    getDeltasSince(revision: bigint): ConfigurationDelta[] | undefined;
    /**
     * Adds a listener that is called with each new revision, also after a snapshot has been restored.
     * @param listener - Receives the new revision.
     * @returns A function that removes the listener.
     */
    addListener(listener: (revision: bigint) => void): () => void;
}
