/*
 * The replicated log as the rest of the program sees it: commands go in, and come out committed in one order at every
 * member's state machine.
 */
import { Stoppable } from "../../runtime";
import { LogStatus } from "./LogStatus";
import { MemberChange } from "./MemberChange";
import { ProposeOutcome } from "./ProposeOutcome";
import { ReadBarrierOutcome } from "./ReadBarrierOutcome";

/** One member's handle on the replicated log. */
export interface ReplicatedLog extends Stoppable {
    /**
     * Appends a command and waits until it is committed and applied here. Commands proposed close together share one
     * write to disk and one message to each peer.
     * @param command - The encoded command.
     */
    propose(command: Uint8Array): Promise<ProposeOutcome>;
    /** Waits until the state machine here holds all that was committed anywhere when the call was made. */
    readBarrier(): Promise<ReadBarrierOutcome>;
    /** Gets what the member knows of itself and its group. */
    getStatus(): LogStatus;
    /**
     * Replaces the group's members by one single-member change.
     * @param change - Which member is added, promoted or removed.
     */
    changeMembers(change: MemberChange): Promise<ProposeOutcome>;
    /**
     * Gets how long the member's leadership is assured, in milliseconds; 0 where it does not lead or its lease is over.
     */
    getLeaderLeaseMilliseconds(): number;
    /**
     * Adds a listener that is called when leadership, term or members change.
     * @returns A function that removes the listener.
     */
    addStatusListener(listener: (status: LogStatus) => void): () => void;
}
