/*
 * The properties by which the fair queue orders its items.
 */
import { Lane } from "./Lane";

/** An item of the fair queue. */
export interface FairQueueItem {
    /** The workspace, the first level of sharing. */
    workspace: string;
    /** The subscriber, the second level of sharing. */
    subscriber: string;
    /** The workspace's weight among workspaces. */
    workspaceShareWeight: number;
    /** The subscriber's weight among those of its workspace. */
    subscriberShareWeight: number;
    /** The lane that the item waits in. */
    lane: Lane;
    /** What the flow is charged for the item, in milliseconds of the backend server. */
    chargeMilliseconds: number;
    /** The length by which the item is ordered: its charge times a factor that is greater for lower priorities. */
    weightedChargeMilliseconds: number;
    /** When the item arrived, on the monotonic clock. */
    arrivalMilliseconds: number;
}
