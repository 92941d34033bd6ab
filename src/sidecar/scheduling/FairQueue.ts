/*
 * A weighted fair queue over workspaces and their subscribers.
 */
import { FairQueueItem } from "./FairQueueItem";
import { Lane } from "./Lane";

/** Orders items so that each workspace, and each subscriber within its workspace, gets its weighted share. */
export interface FairQueue<T extends FairQueueItem> {
    /** Adds an item. */
    addItem(item: T): void;
    /** Removes an item and returns whether it was in the queue. */
    removeItem(item: T): boolean;
    /** Gets the next item of a lane; undefined if the lane is empty. */
    getNextItem(lane: Lane): T | undefined;
    /**
     * Gets the lane whose next item is first in the fair order; undefined if all lanes considered are empty.
     * @param leastUrgentLane - The last lane to consider; less urgent lanes are left out.
     */
    getNextLane(leastUrgentLane: Lane): Lane | undefined;
    /** Removes the next item of a lane and charges its workspace and subscriber for it. */
    takeNextItem(lane: Lane): T | undefined;
    /**
     * Corrects the charge of an item that has been taken.
     * @param item - The item.
     * @param milliseconds - The difference to what was charged; negative if the charge was too high.
     */
    correctCharge(item: T, milliseconds: number): void;
    /** Gets the number of waiting items. */
    getSize(): number;
    /** Gets the number of workspaces that have waiting items. */
    getWaitingWorkspaceCount(): number;
    /** Gets the number of workspaces in memory, including idle ones. */
    getWorkspaceCount(): number;
}
