/*
 * What the scheduler needs to know of a request.
 */
import { Priority } from "../protocol";

/** A request that waits for its turn at a backend server. */
export interface ScheduledRequest {
    /** The request's id. */
    requestId: string;
    /** The workspace's name, the first level of fair sharing. */
    workspace: string;
    /** The subscriber's path, the second level of fair sharing. */
    subscriber: string;
    /** The workspace's weight against other workspaces. */
    workspaceShareWeight: number;
    /** The subscriber's weight against others of its workspace. */
    subscriberShareWeight: number;
    /** How urgent the request is. */
    priority: Priority;
    /** When the request is of no more use, on the monotonic clock. */
    deadlineMilliseconds: number;
    /** The hashes of the prompt's pieces, shortest prefix first. */
    prefixHashes: readonly string[];
    /** The prompt's length in tokens, by estimate. */
    promptTokens: number;
    /** The most tokens that the answer may have. */
    maximumOutputTokens: number;
    /** Whether the scheduler may refuse in favour of a sibling. */
    mayRedirect: boolean;
    /**
     * The cost in milliseconds, as hints give it, up to which a request that may be redirected is taken; the scheduler's
     * own bound where absent.
     */
    acceptBelowMilliseconds?: number;
    /** Whether the request must run with no other beside it. */
    runAlone: boolean;
}
