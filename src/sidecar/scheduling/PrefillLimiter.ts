/*
 * How much prefill the engine has been given, and whether it may be given more.
 */
import { Lane } from "./Lane";
import { QueuedRequest } from "./QueuedRequest";

/** The prefills in progress at the engine. */
export interface PrefillLimiter {
    /** Tells whether a prefill of a lane may begin now. */
    canBegin(lane: Lane): boolean;
    /** Notes that a prefill has begun. */
    begin(running: QueuedRequest): void;
    /** Notes that a prefill has ended. */
    end(running: QueuedRequest, hasSucceeded: boolean): void;
    /** Gets how long the prefills in progress hold up one that would begin now, in milliseconds. */
    getDelayMilliseconds(lane: Lane): number;
    /** Gets how long a prefill in progress still takes, in milliseconds. */
    getRemainingMilliseconds(running: QueuedRequest): number;
}
