/*
 * What a log's folder was found to hold.
 */
import { EntryList } from "./EntryList";
import { HardState } from "./HardState";
import { SegmentSummary } from "./SegmentSummary";
import { StoredSnapshot } from "./StoredSnapshot";

/** The content of a log's folder, before anything in it is changed. */
export interface LogFolderContent {
    /** The identity of the disk's content; undefined where the folder is empty. */
    memberId: string | undefined;
    /** The term and vote; undefined where none were written yet. */
    hardState: HardState | undefined;
    /** The newest snapshot. */
    snapshot: StoredSnapshot | undefined;
    /** The entries of the segments. */
    entries: EntryList;
    /** The segments, in order. */
    segments: readonly SegmentSummary[];
    /** Whether the entries must be replaced by the snapshot, since they end before it or do not lead to it. */
    needsReset: boolean;
}
