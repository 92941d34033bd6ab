/*
 * What a member does while it leads.
 */
import { PeerProgress } from "./PeerProgress";

/** Leads a group: one task for each peer, and one that gives leadership up when the majority is lost. */
export interface Leadership {
    /** Starts to lead the current term. */
    begin(): void;
    /** Starts and ends the tasks of peers as the newest members say. */
    updatePeers(): void;
    /** Commits what is on a majority's disks. */
    advanceCommitIndex(): void;
    /** Gets how long no other member can be elected, in milliseconds. */
    getLeaseMilliseconds(): number;
    /**
     * Proves that the member still led when the call was made.
     * @returns Up to which index a read must wait; undefined where the member does not lead.
     */
    confirmLeadership(): Promise<bigint | undefined>;
    /** Tells whether an entry of the leader's own term is committed. */
    hasCommittedInTerm(): boolean;
    /** Gets what is known of a peer. */
    getProgress(memberId: string): PeerProgress | undefined;
    /** Gets for how long a peer has not answered, in milliseconds. */
    getUnresponsiveMilliseconds(memberId: string): number;
}
