/*
 * How long a request would wait.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Predicts waits at one backend server. */
export interface WaitPredictor {
    /** Gets how long a request that has just arrived would wait until its prefill begins, in milliseconds. */
    getWaitMilliseconds(request: QueuedRequest): number;
}
