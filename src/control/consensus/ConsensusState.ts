/*
 * The Raft state of one member, shared by its tasks.
 */
import { ConsensusLimits } from "./ConsensusLimits";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusTiming } from "./ConsensusTiming";
import { MemberHistory } from "./MemberHistory";
import { PromiseLength } from "./PromiseLength";
import { ReplicatedLogOptions } from "./ReplicatedLogOptions";
import { SerialQueue } from "./SerialQueue";
import { Signal } from "./Signal";

/** The Raft state of one member, and its transitions. */
export interface ConsensusState {
    /** The member's options. */
    readonly options: ReplicatedLogOptions;
    /** The timing, with defaults filled in. */
    readonly timing: ConsensusTiming;
    /** The limits, with defaults filled in. */
    readonly limits: ConsensusLimits;
    /** The group's members at each index of the log. */
    readonly members: MemberHistory;
    /** The promise that the member asks others for while it leads. */
    readonly promiseLength: PromiseLength;
    /** Serialises all changes of the log. */
    readonly logQueue: SerialQueue;
    /** Notifies of changes of the role, term, leader or members. */
    readonly roleSignal: Signal;
    /** Notifies the replication tasks of new entries or a higher commit index. */
    readonly logSignal: Signal;
    /** Notifies of a higher commit index. */
    readonly commitSignal: Signal;
    /** Gets the current role. */
    getRole(): ConsensusRole;
    /** Gets the current term. */
    getTerm(): bigint;
    /** Gets the identity of the candidate voted for in the current term; empty where there was no vote. */
    getVote(): string;
    /** Gets the leader's address; undefined where no leader is known. */
    getLeaderAddress(): string | undefined;
    /** Gets the index of the last entry known to be committed. */
    getCommitIndex(): bigint;
    /** Returns whether the member has stopped. */
    isStopped(): boolean;
    /** Gets the storage failure that stopped the member; undefined where it runs or was stopped by its owner. */
    getFailureReason(): string | undefined;
    /** Returns whether the member is the leader and a term is the current one. */
    leads(term: bigint): boolean;
    /** Returns whether the newest member set in the log, committed or not, lists the member as a voter. */
    isVoter(): boolean;
    /**
     * Returns whether the member may campaign. A voter whose removal is not committed yet still may, since its log may
     * be the only one that is complete enough to win an election.
     */
    canCampaign(): boolean;
    /**
     * Gets when the last message from a leader arrived, in monotonic milliseconds. Until the first one, it is the
     * member's start, or -Infinity where the member has never seen a term.
     */
    getLastContactMilliseconds(): number;
    /** Gets when the election timer was last restarted, in monotonic milliseconds. */
    getElectionStartMilliseconds(): number;
    /** Gets the factor of election timeouts; above 1 after the message of a leader that asked for a longer promise. */
    getElectionTimeoutFactor(): number;
    /** Returns whether a leader's message asked to refuse votes for a time that has not passed, so that all are refused. */
    hasRecentContact(): boolean;
    /**
     * Returns whether votes are refused only since the member may have acknowledged a leader's message before its restart.
     */
    hasFormerContact(): boolean;
    /**
     * Records that no leader from before the member's restart still leads.
     * @param electionDelayMilliseconds - How long the member waits for another candidate before it campaigns, in
     * milliseconds.
     */
    endFormerContact(electionDelayMilliseconds: number): void;
    /** Gets when the member campaigns without waiting for an election timeout; Infinity where it does not. */
    getEarlyElectionMilliseconds(): number;
    /** Lets the member campaign after a delay, in milliseconds, unless its election timer is restarted before. */
    scheduleEarlyElection(delayMilliseconds: number): void;
    /** Restarts the election timer. */
    restartElectionTimer(): void;
    /** Adopts a higher term and becomes a follower; other terms are ignored. */
    observeTerm(term: bigint): void;
    /**
     * Gets the promise that the member gives for a leader's message, in milliseconds.
     * @param askedMilliseconds - What the message asks for, in milliseconds; 0 is the minimum election timeout.
     */
    getGrantedPromise(askedMilliseconds: number): number;
    /**
     * Records a message from the leader of the current term, and follows it.
     * @param address - The leader's address.
     * @param promiseMilliseconds - How long the member refuses votes from now on, in milliseconds; 0 is the minimum
     * election timeout.
     */
    followLeader(address: string, promiseMilliseconds: number): void;
    /** Records the vote for a candidate in the current term. */
    setVote(candidateId: string): void;
    /** Increments the term and votes for the member itself. */
    becomeCandidate(): void;
    /** Becomes the leader of the current term. */
    becomeLeader(): void;
    /**
     * Ends the member's leadership or candidacy.
     * @param reason - The reason that is logged.
     * @param details - Further fields of the log line.
     */
    stepDown(reason: string, details?: object): void;
    /** Raises the commit index; a lower index is ignored. */
    advanceCommitIndex(index: bigint): void;
    /** Notifies listeners and waiting tasks that the role, term, leader or members changed. */
    notifyStateChange(): void;
    /**
     * Adds a listener of changes of the role, term, leader or members.
     * @returns A function that removes the listener.
     */
    addListener(listener: () => void): () => void;
    /**
     * Waits until the current term and vote are synced to disk.
     * @returns Whether they are synced; false where the write failed or the member has stopped.
     */
    persist(): Promise<boolean>;
    /**
     * Stops the member after a storage failure.
     * @param reason - The failure.
     */
    fail(reason: string): void;
    /** Starts a task, which `stop` awaits. */
    startTask(task: () => Promise<void>): void;
    /** Stops the member and waits for its tasks. */
    stop(): Promise<void>;
}
