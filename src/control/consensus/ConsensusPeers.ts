/*
 * The client side of the messages between members; tests replace it with a fake network.
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

/** Sends messages to other members. Each call returns undefined where no response arrived before its timeout. */
export interface ConsensusPeers {
    /** Requests a member's vote or pre-vote. */
    requestVote(address: string, request: VoteRequest): Promise<VoteResponse | undefined>;
    /** Sends a member entries or a heartbeat. */
    appendEntries(address: string, request: AppendRequest): Promise<AppendResponse | undefined>;
    /** Sends a member a heartbeat, which overtakes the entries that the member's disk is storing. */
    sendHeartbeat(address: string, request: HeartbeatRequest): Promise<HeartbeatResponse | undefined>;
    /** Sends a member one part of a snapshot. */
    installSnapshot(address: string, part: SnapshotPart): Promise<SnapshotPartResponse | undefined>;
    /** Asks a member to add the sender to the group. */
    requestJoin(address: string, request: JoinRequest): Promise<JoinResponse | undefined>;
    /** Requests the read index, up to which a linearizable read must wait, from the leader. */
    requestReadIndex(address: string, request: ReadIndexRequest): Promise<ReadIndexResponse | undefined>;
    /** Asks a member whether it leads the group. */
    requestLeadership(address: string, request: LeadershipRequest): Promise<LeadershipResponse | undefined>;
}
