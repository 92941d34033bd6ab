/*
 * The result of the history query, in a form that can be written as JSON.
 */
import { HistoryRecord } from "./HistoryRecord";
import { SettingDifference } from "./SettingDifference";

/** The result of the history query. */
export type HistoryQueryResult =
    /** A page of changes, newest first. */
    | { kind: "page"; revision: number; oldestRevision: number; records: readonly HistoryRecord[]; }
    /** The settings that differ between two revisions. */
    | { kind: "difference"; from: number; to: number; differences: readonly SettingDifference[]; }
    /** A requested revision is older than the history, or newer than the tree. */
    | { kind: "notKept"; revision: number; oldestRevision: number; };
