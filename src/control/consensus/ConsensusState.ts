/*
 * What the tasks of one member share.
 */
import { ConsensusLimits } from "./ConsensusLimits";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusTiming } from "./ConsensusTiming";
import { MemberHistory } from "./MemberHistory";
import { ReplicatedLogOptions } from "./ReplicatedLogOptions";
import { SerialQueue } from "./SerialQueue";
import { Signal } from "./Signal";

/** The state that the tasks of one member share, and its transitions. */
export interface ConsensusState {
    readonly options: ReplicatedLogOptions;
    readonly timing: ConsensusTiming;
    readonly limits: ConsensusLimits;
    /** The group's members, as the log says. */
    readonly members: MemberHistory;
    /** Orders all changes of the log. */
    readonly logQueue: SerialQueue;
    /** Wakes those who wait for a change of role, term, leader or contact. */
    readonly roleSignal: Signal;
    /** Wakes those who send the log to peers. */
    readonly logSignal: Signal;
    /** Wakes those who wait for the commit index. */
    readonly commitSignal: Signal;
    /** Gets the part that the member plays now. */
    getRole(): ConsensusRole;
    /** Gets the current term. */
    getTerm(): bigint;
    /** Gets the identity voted for in the current term; empty where none. */
    getVote(): string;
    /** Gets the leader's address, where a leader is known. */
    getLeaderAddress(): string | undefined;
    /** Gets the index of the last entry known to be committed. */
    getCommitIndex(): bigint;
    /** Tells whether the member has stopped. */
    isStopped(): boolean;
    /** Gets why the member stopped by itself; undefined where it runs or was asked to stop. */
    getFailureReason(): string | undefined;
    /** Tells whether the member leads in a term. */
    leads(term: bigint): boolean;
    /** Tells whether the member is a voter, as its log says. */
    isVoter(): boolean;
    /**
     * Tells whether the member may stand for election: one whose removal is not committed still may, since its log may be
     * the only one that the others can go on from.
     */
    canCampaign(): boolean;
    /** Gets when the member last heard from a leader, in the clock's monotonic milliseconds. */
    getLastContactMilliseconds(): number;
    /** Gets when the member's wait for a leader began, in the clock's monotonic milliseconds. */
    getElectionStartMilliseconds(): number;
    /** Tells whether a promise to a leader, not to vote for another, still holds. */
    hasRecentContact(): boolean;
    /** Begins the wait for a leader anew. */
    restartElectionTimer(): void;
    /** Takes over a higher term, in which the member follows. */
    observeTerm(term: bigint): void;
    /** Follows the leader of the current term, from which a message came. */
    followLeader(address: string): void;
    /** Votes in the current term. */
    setVote(candidateId: string): void;
    /** Begins a new term with a vote for the member itself. */
    becomeCandidate(): void;
    /** Leads the current term. */
    becomeLeader(): void;
    /**
     * Ends the member's leadership or candidacy.
     * @param reason - Why, for the log.
     */
    stepDown(reason: string): void;
    /** Raises the commit index; a lower one is ignored. */
    advanceCommitIndex(index: bigint): void;
    /** Tells listeners that role, term, leader or members changed. */
    notifyStateChange(): void;
    /** Adds a listener of changes. */
    addListener(listener: () => void): () => void;
    /**
     * Waits until the current term and vote are synced to disk.
     * @returns Whether they are; where not, the member has stopped.
     */
    persist(): Promise<boolean>;
    /**
     * Stops the member, since its disk failed.
     * @param reason - What failed.
     */
    fail(reason: string): void;
    /** Runs a task that is awaited when the member stops. */
    startTask(task: () => Promise<void>): void;
    /** Stops the member, and waits for its tasks. */
    stop(): Promise<void>;
}
