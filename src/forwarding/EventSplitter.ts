/*
 * Splits a stream of bytes into events.
 */
import { StreamEvent } from "./StreamEvent";

/** Buffers bytes until they form whole events. */
export interface EventSplitter {
    /** Adds bytes and returns the events that are whole now. */
    add(bytes: Uint8Array): readonly StreamEvent[];
    /** Gets the bytes after the last whole event. */
    getRemainingBytes(): Uint8Array;
    /** Returns whether the bytes after the last whole event belong to another one; empty lines don't. */
    isInsideEvent(): boolean;
}
