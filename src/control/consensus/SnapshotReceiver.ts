/*
 * The follower side of snapshot installation.
 */
import { SnapshotPart, SnapshotPartResponse } from "../../protocol";

/** Assembles and installs snapshots that the leader sends in parts. */
export interface SnapshotReceiver {
    /** Handles one part of a leader's snapshot. */
    handleSnapshotPart(part: SnapshotPart): Promise<SnapshotPartResponse | undefined>;
}
