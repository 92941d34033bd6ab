/*
 * What the fair queue needs to know of what waits in it.
 */
import { Lane } from "./Lane";

/** A member of the fair queue. */
export interface FairQueueItem {
    /** The workspace, the first level of sharing. */
    workspace: string;
    /** The subscriber, the second level. */
    subscriber: string;
    /** The workspace's weight among workspaces. */
    workspaceShareWeight: number;
    /** The subscriber's weight among those of its workspace. */
    subscriberShareWeight: number;
    /** The lane. */
    lane: Lane;
    /** What the item is charged, in milliseconds of the backend server. */
    chargeMilliseconds: number;
    /** What the item counts in the order: its charge, made longer where its priority is lower. */
    weightedChargeMilliseconds: number;
    /** When the item arrived, on the monotonic clock. */
    arrivalMilliseconds: number;
}
