/*
 * The bounds on what one peer may ask of a service.
 */

/** Bounds on one service's use. */
export interface ServiceLimits {
    /** The longest message read, in bytes. */
    maximumMessageBytes: number;
    /** How many calls, and messages on streams, one peer may send in a second, in the long run. */
    messagesPerSecond: number;
    /** How many it may send at once after a pause. */
    messageBurst: number;
}
