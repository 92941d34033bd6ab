/*
 * The synchronization of state with all other control members.
 */
import { Stoppable } from "../../runtime";

/** Sends this member's changes to all other members. */
export interface GroupSynchronizer extends Stoppable {
    /** Queues a changed directory record for sending to every member. */
    queueRecord(instanceId: string): void;
    /** Sends the next message to every member without waiting for its interval. */
    wake(): void;
}
