/*
 * The decoded content of a log's folder.
 */
import { EntryList } from "./EntryList";
import { HardState } from "./HardState";
import { SegmentSummary } from "./SegmentSummary";
import { StoredSnapshot } from "./StoredSnapshot";

/** The content of a log's folder as read, before recovery changes anything. */
export interface LogFolderContent {
    /** The member identity stored in the folder; undefined if the folder is empty. */
    memberId: string | undefined;
    /** The term and vote; undefined if none have been written yet. */
    hardState: HardState | undefined;
    /** The newest snapshot; undefined if there is none. */
    snapshot: StoredSnapshot | undefined;
    /** The entries of the segments. */
    entries: EntryList;
    /** The segments, in ascending order of their numbers. */
    segments: readonly SegmentSummary[];
    /** The segments that the snapshot covers, and whose removal a crash has undone in part. */
    obsoleteSegmentNumbers: readonly number[];
    /** Whether the snapshot must replace all entries, because they end before it or diverge from it. */
    needsReset: boolean;
}
