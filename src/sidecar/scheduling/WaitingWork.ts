/*
 * How much work waits, by lane and by flow.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Sums of the work that waits. */
export interface WaitingWork {
    /** Counts a waiting request in. */
    add(waiting: QueuedRequest): void;
    /** Counts a waiting request out, at the cost at which it was counted in. */
    remove(waiting: QueuedRequest): void;
    /** Gets all work that waits, in milliseconds. */
    getTotalMilliseconds(): number;
    /** Gets the work of waiting requests that are at most about as long as a given one, in milliseconds. */
    getShorterMilliseconds(chargeMilliseconds: number): number;
    /** Gets the work that waits of one subscriber, in milliseconds. */
    getSubscriberMilliseconds(workspace: string, subscriber: string): number;
    /** Gets the work that waits of one workspace, in milliseconds. */
    getWorkspaceMilliseconds(workspace: string): number;
    /** Gets the sum of the weights of the workspaces that have work waiting. */
    getWorkspaceWeights(): number;
    /** Gets the sum of the weights of a workspace's subscribers that have work waiting. */
    getSubscriberWeights(workspace: string): number;
}
