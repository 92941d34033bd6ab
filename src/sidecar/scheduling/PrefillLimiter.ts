/*
 * Limits the prefills in progress at an engine.
 */
import { Lane } from "./Lane";
import { QueuedRequest } from "./QueuedRequest";

/** Tracks the prefills in progress at the engine and decides whether another one may begin. */
export interface PrefillLimiter {
    /** Returns whether a prefill of a lane may begin now. */
    canBegin(lane: Lane): boolean;
    /** Records the start of a prefill. */
    begin(running: QueuedRequest): void;
    /** Records the end of a prefill. */
    end(running: QueuedRequest, hasSucceeded: boolean): void;
    /** Gets how long the prefills in progress delay one of a lane that would begin now, in milliseconds. */
    getDelayMilliseconds(lane: Lane): number;
    /** Gets the remaining time of a prefill in progress, in milliseconds; 0 if it is not in progress. */
    getRemainingMilliseconds(running: QueuedRequest): number;
}
