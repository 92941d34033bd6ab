/*
 * What the history query answers, fit for JSON.
 */
import { HistoryRecord } from "./HistoryRecord";
import { SettingDifference } from "./SettingDifference";

/** The answer of the history query. */
export type HistoryQueryResult =
    /** Changes, newest first. */
    | { kind: "page"; revision: number; oldestRevision: number; records: readonly HistoryRecord[]; }
    /** What differs between two revisions. */
    | { kind: "difference"; from: number; to: number; differences: readonly SettingDifference[]; }
    /** The history does not reach back so far, or the revision has not come yet. */
    | { kind: "notKept"; revision: number; oldestRevision: number; };
