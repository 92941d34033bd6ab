/*
 * The configuration as an entry process or a sidecar reads it: one revision at a time, and never an older one after a
 * newer one.
 */
import { EffectiveSettings } from "./EffectiveSettings";
import { Subscriber } from "./Subscriber";

/** A process's own copy of the configuration tree. */
export interface ConfigurationView {
    /** Gets the revision of the copy; 0 before the first snapshot has arrived. */
    getRevision(): bigint;
    /**
     * Finds the subscriber of a key; key digests are compared in constant time.
     * @param key - The key in plain text.
     * @returns The subscriber; undefined if the key is unknown.
     */
    getSubscriberByKey(key: string): Subscriber | undefined;
    /**
     * Gets the settings in force at a level, inherited ones included.
     * @param levelPath - The path of the level, which need not exist.
     */
    getEffectiveSettings(levelPath: string): EffectiveSettings;
}
