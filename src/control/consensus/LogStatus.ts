/*
 * The status of a member and its view of the group.
 */
import { ConsensusRole } from "./ConsensusRole";
import { GroupTolerance } from "./GroupTolerance";

/** The status of one member of a replicated log. */
export interface LogStatus {
    /** The member's identity, which is tied to its disk. */
    memberId: string;
    /** The current role. */
    role: ConsensusRole;
    /** The current term. */
    term: bigint;
    /** The leader's address; undefined where no leader is known. */
    leaderAddress: string | undefined;
    /** The index of the last entry known to be committed. */
    commitIndex: bigint;
    /** The index of the last entry applied to the state machine. */
    appliedIndex: bigint;
    /** The index of the last entry in the log. */
    lastIndex: bigint;
    /** The size of the stored entries, in bytes; those that the snapshot covers and that are retained are included. */
    entryBytes: number;
    /** The number of entries after the snapshot. */
    entriesSinceSnapshot: number;
    /** What the group bears; undefined where the member is not the leader. */
    tolerance: GroupTolerance | undefined;
    /** The addresses of lost voters, once they are a majority: each answers with another identity. Empty otherwise. */
    lostVoterAddresses: readonly string[];
    /** The group's members; `matchIndex` is the last entry known to be on a peer's disk, where the member leads. */
    members: readonly { memberId: string; address: string; isVoter: boolean; matchIndex: bigint | undefined; }[];
}
