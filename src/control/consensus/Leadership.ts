/*
 * The leader side of replication.
 */
import { PeerProgress } from "./PeerProgress";
import { Signal } from "./Signal";

/** Runs one replication task for each peer, and a quorum check that steps down without a responsive majority. */
export interface Leadership {
    /** Notifies of recorded responses of peers, and of changes of the role, term, leader or members. */
    readonly responseSignal: Signal;
    /** Becomes the leader of the current term. */
    begin(): void;
    /** Starts and ends replication tasks to match the newest member set. */
    updatePeers(): void;
    /** Advances the commit index to the entries that a majority of voters has on disk. */
    advanceCommitIndex(): void;
    /** Gets the remaining leader lease, during which no other member can be elected, in milliseconds. */
    getLeaseMilliseconds(): number;
    /**
     * Confirms that the member was still the leader when the call was made.
     * @returns The read index; undefined where the member is not the leader.
     */
    confirmLeadership(): Promise<bigint | undefined>;
    /** Returns whether an entry of the leader's own term is committed. */
    hasCommittedInTerm(): boolean;
    /** Gets the replication progress of a peer; undefined where there is no such peer. */
    getProgress(memberId: string): PeerProgress | undefined;
    /**
     * Gets the time since the newest message that a peer acknowledged was sent, in milliseconds; 0 for the member
     * itself.
     */
    getUnresponsiveMilliseconds(memberId: string): number;
}
