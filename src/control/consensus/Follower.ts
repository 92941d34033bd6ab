/*
 * The follower side of replication.
 */
import {
    AppendRequest,
    AppendResponse,
    HeartbeatRequest,
    HeartbeatResponse,
    SnapshotPart,
    SnapshotPartResponse,
} from "../../protocol";

/** Stores the entries and snapshots that a leader sends. */
export interface Follower {
    /** Handles a leader's entries or heartbeat. */
    handleAppend(request: AppendRequest): Promise<AppendResponse | undefined>;
    /** Handles a leader's heartbeat, which waits for no disk. */
    handleHeartbeat(request: HeartbeatRequest): Promise<HeartbeatResponse | undefined>;
    /** Handles one part of a snapshot that the leader installs. */
    handleSnapshotPart(part: SnapshotPart): Promise<SnapshotPartResponse | undefined>;
}
