/*
 * The last events of one attempt, from which a broken answer goes on.
 */
import { DispatchEvent } from "../../protocol";
import { AttemptEvent } from "../AttemptEvent";

/** Numbers an attempt's events and keeps the last of them. */
export interface ReplayBuffer {
    /** Adds the next event; resolves once there is room for another. */
    add(event: AttemptEvent): Promise<void>;
    /** Tells whether the event with a number, and all after it, can still be given. */
    isAvailable(sequence: bigint): boolean;
    /**
     * Gives the events from a number on, up to the last. A tail with one follower ends the former one.
     * @param sequence - The number of the first event wanted.
     * @param signal - Ends the following.
     */
    follow(sequence: bigint, signal: AbortSignal): AsyncGenerator<DispatchEvent>;
    /** Tells whether anyone follows. */
    hasFollowers(): boolean;
    /** Tells whether the last event has been added. */
    hasEnded(): boolean;
    /** Gets how many bytes are kept. */
    getBytes(): number;
    /** Lets whoever waits for room go on, since the attempt is given up. */
    stopBackpressure(): void;
}
