/*
 * An attempt whose turn has come.
 */
import { DispatchRequest } from "../protocol";
import { Attempt } from "./attempts";
import { BackendState } from "./BackendState";
import { RunningSlot } from "./RunningSlot";

/** What is needed to hand an attempt to the backend server. */
export interface AttemptRun {
    /** What is asked for. */
    request: DispatchRequest;
    /** The attempt. */
    attempt: Attempt;
    /** The hashes of a completion's prefixes. */
    prefixHashes: readonly string[];
    /** The place at the backend server, released when the attempt ends. */
    slot: RunningSlot;
    /** How long the request waited. */
    queueMilliseconds: number;
    /** How urgent the request is to an engine; a lower number first. */
    enginePriority: number;
    /** Gets what is known of the backend server. */
    getBackendState(): BackendState;
}
