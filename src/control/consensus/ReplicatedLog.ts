/*
 * The interface of the replicated log: proposed commands are committed and applied in the same order at the state
 * machine of every member.
 */
import { Stoppable } from "../../runtime";
import { LogStatus } from "./LogStatus";
import { MemberChange } from "./MemberChange";
import { ProposeOutcome } from "./ProposeOutcome";
import { ReadBarrierOutcome } from "./ReadBarrierOutcome";

/** One member of a replicated log. */
export interface ReplicatedLog extends Stoppable {
    /**
     * Proposes a command and waits until it is committed and applied at this member. Commands proposed close together
     * share one write to disk and one message to each peer.
     * @param command - The encoded command.
     * @returns The outcome, with the result of the state machine where the command is committed.
     */
    propose(command: Uint8Array): Promise<ProposeOutcome>;
    /** Waits until the local state machine has applied every entry that was committed when the call was made. */
    readBarrier(): Promise<ReadBarrierOutcome>;
    /** Gets the status of the member and its view of the group. */
    getStatus(): LogStatus;
    /**
     * Changes the group's members by one member.
     * @param change - The member that is added, promoted, removed or gets another address.
     */
    changeMembers(change: MemberChange): Promise<ProposeOutcome>;
    /**
     * Gets the remaining leader lease, in milliseconds; 0 where the member is not the leader or the lease has expired.
     */
    getLeaderLeaseMilliseconds(): number;
    /**
     * Adds a listener that is called when the role, term, leader or members change.
     * @param listener - Receives the new status.
     * @returns A function that removes the listener.
     */
    addStatusListener(listener: (status: LogStatus) => void): () => void;
}
