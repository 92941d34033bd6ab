/*
 * A request as the scheduler sees it.
 */
import { Priority } from "../protocol";

/** A request to be scheduled at a backend server. */
export interface ScheduledRequest {
    /** The request's id. */
    requestId: string;
    /** The workspace's name, the first level of fair sharing. */
    workspace: string;
    /** The subscriber's path, the second level of fair sharing. */
    subscriber: string;
    /** The workspace's weight relative to other workspaces. */
    workspaceShareWeight: number;
    /** The subscriber's weight relative to other subscribers of its workspace. */
    subscriberShareWeight: number;
    /** The request's priority. */
    priority: Priority;
    /** The deadline of the request in milliseconds of the monotonic clock. */
    deadlineMilliseconds: number;
    /** The prefix hashes of the prompt's blocks, shortest prefix first. */
    prefixHashes: readonly string[];
    /** The estimated length of the prompt in tokens. */
    promptTokens: number;
    /** The maximum number of tokens in the response. */
    maximumOutputTokens: number;
    /** Whether the scheduler may refuse the request in favour of another instance. */
    mayRedirect: boolean;
    /**
     * The predicted cost in milliseconds up to which a request that may be redirected is accepted; the scheduler's own
     * limit if absent.
     */
    acceptBelowMilliseconds?: number;
    /** Whether no other request may run beside this one. */
    runAlone: boolean;
}
