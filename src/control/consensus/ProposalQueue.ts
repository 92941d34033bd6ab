/*
 * The queue of proposals in front of a leader's log.
 */
import { MemberSet } from "../../protocol";
import { ProposeOutcome } from "./ProposeOutcome";

/** Appends proposals to the leader's log, in batches that share one write to disk. */
export interface ProposalQueue {
    /** Appends a command. */
    propose(command: Uint8Array): Promise<ProposeOutcome>;
    /** Appends a new member set. */
    proposeMembers(members: MemberSet): Promise<ProposeOutcome>;
    /** Appends the entry that a new leader commits at the start of its term. */
    proposeTermStart(): Promise<ProposeOutcome>;
    /** Gets the index of the last entry that the member appended as leader of a term and synced to its own disk. */
    getDurableIndex(term: bigint): bigint;
}
