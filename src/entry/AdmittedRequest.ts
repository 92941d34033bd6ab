/*
 * A caller's request after it has been authenticated, checked and admitted.
 */
import { Subscriber } from "../control/configuration";
import { Priority } from "../protocol";
import { CallerWork } from "./CallerWork";

/** A request that may be dispatched. */
export interface AdmittedRequest {
    /** The id that identifies the request in all processes and logs. */
    requestId: string;
    /** The subscriber that the caller's key identifies. */
    subscriber: Subscriber;
    /** The priority for scheduling. */
    priority: Priority;
    /** The workspace's weight in fair sharing with other workspaces. */
    workspaceShareWeight: number;
    /** The subscriber's weight in fair sharing with the other subscribers of its workspace. */
    subscriberShareWeight: number;
    /** The deadline on the monotonic clock, in milliseconds. */
    deadlineMilliseconds: number;
    /** The SHA-256 digest of workspace and body. */
    fingerprint: Uint8Array;
    /** The idempotency key that identifies resends; undefined where the caller sent none. */
    idempotencyKey: string | undefined;
    /** The completion or service call to run. */
    work: CallerWork;
}
