/*
 * The levels of the configuration, without revisions or history.
 */
import { ConfigurationOperation } from "../../protocol";
import { LevelSettings } from "./LevelSettings";
import { TreeEditOutcome } from "./TreeEditOutcome";

/** The levels of the configuration. The root always exists, and so does the parent of every level. */
export interface ConfigurationTree {
    /** Gets each level's own settings as JSON, by path. */
    getLevels(): ReadonlyMap<string, string>;
    /** Gets the settings that a level itself sets; undefined if the level does not exist. */
    getOwnSettings(levelPath: string): LevelSettings | undefined;
    /** Gets the path of the subscriber that a key with this SHA-256 digest identifies; undefined if there is none. */
    getSubscriberPath(keyDigest: string): string | undefined;
    /**
     * Applies the operations of one transaction, all or none.
     * @param operations - The operations, in the order in which they are applied.
     */
    edit(operations: readonly ConfigurationOperation[]): TreeEditOutcome;
    /**
     * Replaces a level's own settings without validation; the source of the settings has validated them.
     * @param levelPath - The level's path.
     * @param json - The settings as JSON; undefined removes the level and its descendants.
     */
    setLevel(levelPath: string, json: string | undefined): void;
    /** Replaces the whole tree, given as pairs of path and JSON, without validation. */
    replaceLevels(levels: Iterable<readonly [string, string]>): void;
}
