/*
 * One event of a stream that a caller has received.
 */

/** A whole event. */
export interface SoakStreamEvent {
    /** The number of the event in its stream, from 1 on. */
    id: number;
    /** The id of the request for which an engine generated it. */
    requestId: string;
    /** The software version of that engine. */
    softwareVersion: string;
    /** Whether it is the last one of its stream. */
    isLast: boolean;
}
