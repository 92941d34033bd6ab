/*
 * The configuration part's whole state, as snapshots of the log hold it in JSON.
 */
import { SystemEvent } from "../SystemEvent";

/** The state in JSON. */
export interface ConfigurationPartSnapshot {
    /** The format's version. */
    format: 1;
    /** The revision, in decimals. */
    revision: string;
    /** Each level's own settings as JSON. */
    levels: readonly (readonly [path: string, json: string])[];
    /** The kept changes, oldest first. */
    history: readonly {
        revision: string;
        changeId: string;
        author: string;
        timeMilliseconds: number;
        changes: readonly { level: string; before?: string; after?: string; }[];
    }[];
    /** The kept answers, oldest first. */
    answers: readonly {
        changeId: string;
        contentDigest: string;
        kind: "accepted" | "conflict" | "invalid";
        revision: string;
        problems?: readonly string[];
    }[];
    /** The events kept, oldest first; absent in snapshots of versions that kept none. */
    events?: readonly SystemEvent[];
}
