/*
 * The synchronization of state with one other control member.
 */
import { Stoppable } from "../../runtime";

/** Sends this member's changes to one other member. */
export interface PeerSynchronizer extends Stoppable {
    /** Queues a changed directory record for sending. */
    queueRecord(instanceId: string): void;
    /** Sends the next message without waiting for its interval. */
    wake(): void;
}
