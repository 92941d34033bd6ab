/*
 * The limits on one peer's use of a service.
 */

/** The limits on one peer's use of one service. */
export interface ServiceLimits {
    /** The maximum size of a message, in bytes. */
    maximumMessageBytes: number;
    /** The sustained rate of calls and of messages on streams, per second. */
    messagesPerSecond: number;
    /** The number of calls and messages that the peer may send at once after a pause. */
    messageBurst: number;
}
