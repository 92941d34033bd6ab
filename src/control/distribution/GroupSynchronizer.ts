/*
 * The sharing of state with all other control members.
 */
import { Stoppable } from "../../runtime";

/** One task for each other member. */
export interface GroupSynchronizer extends Stoppable {
    /** Notes that a record has changed here. */
    queueRecord(instanceId: string): void;
    /** Sends what there is to send soon, to all. */
    wake(): void;
}
