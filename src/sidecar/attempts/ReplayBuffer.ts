/*
 * The last events of one attempt, from which an interrupted event stream is resumed.
 */
import { DispatchEvent } from "../../protocol";
import { AttemptEvent } from "../AttemptEvent";

/** Numbers an attempt's events and buffers the last of them. */
export interface ReplayBuffer {
    /** Adds the next event; resolves once there is room for another. */
    add(event: AttemptEvent): Promise<void>;
    /** Tells whether the event with a sequence number, and all later ones, are still available. */
    isAvailable(sequence: bigint): boolean;
    /**
     * Streams the events from a sequence number up to the last event. A buffer that applies backpressure has one
     * follower: a new one ends the stream of the former.
     * @param sequence - The sequence number of the first event.
     * @param signal - Ends the stream when aborted.
     */
    follow(sequence: bigint, signal: AbortSignal): AsyncGenerator<DispatchEvent>;
    /** Tells whether an event stream is open. */
    hasFollowers(): boolean;
    /** Tells whether the last event has been added. */
    hasEnded(): boolean;
    /** Gets the size of the buffered events in bytes. */
    getBytes(): number;
    /** Stops delaying new events, because the attempt has been cancelled. */
    stopBackpressure(): void;
}
