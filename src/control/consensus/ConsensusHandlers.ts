/*
 * The handlers of the messages that members send each other.
 */
import {
    AppendRequest,
    AppendResponse,
    HeartbeatRequest,
    HeartbeatResponse,
    JoinRequest,
    JoinResponse,
    LeadershipRequest,
    LeadershipResponse,
    ReadIndexRequest,
    ReadIndexResponse,
    SnapshotPart,
    SnapshotPartResponse,
    VoteRequest,
    VoteResponse,
} from "../../protocol";

/** Handles the messages of other members. A stopped member returns undefined, as if it were unreachable. */
export interface ConsensusHandlers {
    /** Handles a candidate's request for a vote or a pre-vote. */
    handleVote(request: VoteRequest): Promise<VoteResponse | undefined>;
    /** Handles a leader's entries; a message without entries tells the commit index. */
    handleAppend(request: AppendRequest): Promise<AppendResponse | undefined>;
    /** Handles a leader's heartbeat, which waits for no disk. */
    handleHeartbeat(request: HeartbeatRequest): Promise<HeartbeatResponse | undefined>;
    /** Handles one part of a snapshot that the leader installs. */
    handleSnapshotPart(part: SnapshotPart): Promise<SnapshotPartResponse | undefined>;
    /** Handles the request of a process to be added to the group. */
    handleJoin(request: JoinRequest): Promise<JoinResponse | undefined>;
    /** Handles a member's request for the read index of a linearizable read. */
    handleReadIndex(request: ReadIndexRequest): Promise<ReadIndexResponse | undefined>;
    /** Handles a restarted member's question whether this member leads the group. */
    handleLeadership(request: LeadershipRequest): Promise<LeadershipResponse | undefined>;
}
