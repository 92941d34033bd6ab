/*
 * A change of an engine's prefix cache as the engine publishes it. Events arrive with a delay, and some can be lost.
 */

/** A change of an engine's prefix cache. */
export interface CacheEvent {
    /** The event's sequence number, from 1; a missing number means a lost event. */
    number: number;
    /** The incarnation of the engine that published the event. */
    incarnation: string;
    /** Whether blocks were stored or removed, or the whole cache was cleared. */
    kind: "stored" | "removed" | "cleared";
    /** The hashes of the blocks concerned; empty if the whole cache was cleared. */
    hashes: readonly string[];
}
