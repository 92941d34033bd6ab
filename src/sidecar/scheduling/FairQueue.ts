/*
 * A weighted-fair queue over workspaces and their subscribers.
 */
import { FairQueueItem } from "./FairQueueItem";
import { Lane } from "./Lane";

/** Orders what waits so that each workspace, and within it each subscriber, gets its weighted share. */
export interface FairQueue<T extends FairQueueItem> {
    /** Adds an item. */
    addItem(item: T): void;
    /** Removes an item; tells whether it was there. */
    removeItem(item: T): boolean;
    /** Gets the item that is next in a lane; undefined where the lane is empty. */
    getNextItem(lane: Lane): T | undefined;
    /**
     * Gets the lane whose next item goes first; undefined where all are empty.
     * @param leastUrgentLane - The last lane that is looked at.
     */
    getNextLane(leastUrgentLane: Lane): Lane | undefined;
    /** Removes the next item of a lane and charges for it. */
    takeNextItem(lane: Lane): T | undefined;
    /** Corrects what was charged for an item that has been taken, in milliseconds; negative where it was too much. */
    correctCharge(item: T, milliseconds: number): void;
    /** Gets how many items wait. */
    getSize(): number;
    /** Gets how many workspaces have items waiting. */
    getWaitingWorkspaceCount(): number;
    /** Gets how many flows the queue remembers. */
    getWorkspaceCount(): number;
}
