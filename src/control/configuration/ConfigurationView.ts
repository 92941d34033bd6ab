/*
 * The configuration as an entry or a sidecar reads it: one revision at a time, never an older one after a newer.
 */
import { EffectiveSettings } from "./EffectiveSettings";
import { Subscriber } from "./Subscriber";

/** A process's own copy of the configuration tree. */
export interface ConfigurationView {
    /** Gets the revision held; 0 before the first has come. */
    getRevision(): bigint;
    /** Finds whom a key names, comparing in constant time; undefined where it names no one. */
    getSubscriberByKey(key: string): Subscriber | undefined;
    /** Gets a level's settings with all that it inherits. */
    getEffectiveSettings(levelPath: string): EffectiveSettings;
}
