/*
 * Cuts a stream of bytes into events.
 */
import { StreamEvent } from "./StreamEvent";

/** Collects bytes until whole events are there. */
export interface EventSplitter {
    /** Adds bytes and gets the events that are whole now. */
    add(bytes: Uint8Array): readonly StreamEvent[];
    /** Gets the bytes behind the last whole event. */
    getRemainingBytes(): Uint8Array;
}
