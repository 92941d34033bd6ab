/*
 * The sharing of state with one control member.
 */
import { Stoppable } from "../../runtime";

/** Tells one member what changes here. */
export interface PeerSynchronizer extends Stoppable {
    /** Notes that a record has changed here. */
    queueRecord(instanceId: string): void;
    /** Sends what there is to send soon. */
    wake(): void;
}
