/*
 * When a leader sent a message that members acknowledge.
 */

/** The sending of a message to a peer. */
export interface SentMessage {
    /** When the message was sent, in monotonic milliseconds. */
    sentMilliseconds: number;
    /** The same time by the wall clock, in milliseconds, which advances while a machine is suspended. */
    sentWallMilliseconds: number;
    /** How long the peer refuses votes from the message's arrival on, in milliseconds. */
    promiseMilliseconds: number;
}
