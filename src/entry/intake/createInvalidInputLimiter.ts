/*
 * Limits invalid requests: per connection by their total number, and per workspace by a token bucket.
 */
import { LRUCache } from "lru-cache";
import { Socket } from "node:net";
import { Clock } from "../../runtime";
import { InvalidInputLimiter } from "./InvalidInputLimiter";

const maximumInvalidRequestsPerConnection = 20;
const workspaceBurstRequests = 200;
const workspaceInvalidRequestsPerSecond = 20;
const maximumWorkspaces = 10_000;
const millisecondsPerSecond = 1_000;

/** The invalid requests that a workspace may still send. */
interface TokenBucket {
    /** The number of invalid requests left. */
    remainingRequests: number;
    /** When the bucket was last refilled, on the monotonic clock, in milliseconds. */
    updatedMilliseconds: number;
}

/** Creates a limiter that has counted no invalid requests. */
export function createInvalidInputLimiter(clock: Clock): InvalidInputLimiter {
    const countsByConnection = new WeakMap<Socket, number>();
    const bucketsByWorkspace = new LRUCache<string, TokenBucket>({ max: maximumWorkspaces });
    return { recordInvalidRequest, isConnectionLimitReached, isWorkspaceBlocked };

    function recordInvalidRequest(socket: Socket, workspace: string | undefined): void {
        countsByConnection.set(socket, (countsByConnection.get(socket) ?? 0) + 1);
        if (workspace !== undefined) {
            const bucket = refillBucket(workspace);
            bucketsByWorkspace.set(workspace, {
                ...bucket,
                remainingRequests: Math.max(0, bucket.remainingRequests - 1),
            });
        }
    }

    function isConnectionLimitReached(socket: Socket): boolean {
        return (countsByConnection.get(socket) ?? 0) >= maximumInvalidRequestsPerConnection;
    }

    function isWorkspaceBlocked(socket: Socket, workspace: string): boolean {
        return countsByConnection.has(socket) && refillBucket(workspace).remainingRequests < 1;
    }

    function refillBucket(workspace: string): TokenBucket {
        const now = clock.getMonotonicMilliseconds();
        const previous = bucketsByWorkspace.get(workspace)
            ?? { remainingRequests: workspaceBurstRequests, updatedMilliseconds: now };
        const refilledRequests = (now - previous.updatedMilliseconds) / millisecondsPerSecond
            * workspaceInvalidRequestsPerSecond;
        return {
            remainingRequests: Math.min(workspaceBurstRequests, previous.remainingRequests + refilledRequests),
            updatedMilliseconds: now,
        };
    }
}
