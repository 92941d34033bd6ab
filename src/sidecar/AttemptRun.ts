/*
 * An attempt that the scheduler has started.
 */
import { DispatchRequest } from "../protocol";
import { Attempt } from "./attempts";
import { BackendState } from "./BackendState";
import { RunningSlot } from "./RunningSlot";

/** Everything needed to send an attempt to the backend server. */
export interface AttemptRun {
    /** The dispatched request. */
    request: DispatchRequest;
    /** The attempt. */
    attempt: Attempt;
    /** The hashes of a completion's prefixes, shortest prefix first; empty for a plain service. */
    prefixHashes: readonly string[];
    /** The slot at the backend server, released when the attempt ends. */
    slot: RunningSlot;
    /** How long the request waited in the queue, in milliseconds. */
    queueMilliseconds: number;
    /** The priority given to the engine; lower numbers are served first. */
    enginePriority: number;
    /** Gets the current state of the backend server. */
    getBackendState(): BackendState;
}
