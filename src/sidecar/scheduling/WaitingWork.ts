/*
 * The amount of waiting work, in total and by length, workspace and subscriber.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Totals of the waiting work. */
export interface WaitingWork {
    /** Adds the charge of a waiting request to the totals. */
    add(waiting: QueuedRequest): void;
    /** Subtracts the charge with which a request was added; the request's own charge may have changed since. */
    remove(waiting: QueuedRequest): void;
    /** Gets all waiting work, in milliseconds. */
    getTotalMilliseconds(): number;
    /** Gets the work of the waiting requests that are at most about as long as the given charge, in milliseconds. */
    getShorterMilliseconds(chargeMilliseconds: number): number;
    /** Gets the waiting work of one subscriber, in milliseconds. */
    getSubscriberMilliseconds(workspace: string, subscriber: string): number;
    /** Gets the waiting work of one workspace, in milliseconds. */
    getWorkspaceMilliseconds(workspace: string): number;
    /** Gets the sum of the weights of the workspaces that have waiting work. */
    getWorkspaceWeights(): number;
    /** Gets the sum of the weights of a workspace's subscribers that have waiting work. */
    getSubscriberWeights(workspace: string): number;
}
