/*
 * Prediction of waiting times.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Predicts waiting times at one backend server. */
export interface WaitPredictor {
    /** Predicts how long a request that has just arrived waits until its prefill begins, in milliseconds. */
    getWaitMilliseconds(request: QueuedRequest): number;
}
