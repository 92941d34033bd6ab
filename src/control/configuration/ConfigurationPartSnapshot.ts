/*
 * The stored form of the configuration part's state: the JSON document in snapshots of the replicated log.
 */
import { SystemEvent } from "../SystemEvent";

/** The configuration part's state as JSON. */
export interface ConfigurationPartSnapshot {
    /** The version of the format. */
    format: 1;
    /** The revision as a decimal number. */
    revision: string;
    /** Each level's path and own settings, the settings as JSON; sorted by path. */
    levels: readonly (readonly [path: string, json: string])[];
    /** The history, oldest change first. */
    history: readonly {
        revision: string;
        changeId: string;
        author: string;
        timeMilliseconds: number;
        changes: readonly { level: string; before?: string; after?: string; }[];
    }[];
    /** The stored outcomes of changes, oldest first. */
    answers: readonly {
        changeId: string;
        contentDigest: string;
        kind: "accepted" | "conflict" | "invalid";
        revision: string;
        problems?: readonly string[];
    }[];
    /** The retained events, oldest first; absent in snapshots of versions that retained no events. */
    events?: readonly SystemEvent[];
}
