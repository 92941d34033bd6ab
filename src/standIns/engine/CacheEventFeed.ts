/*
 * The feed of an engine's cache events.
 */
import { ServerResponse } from "node:http";

/** Publishes cache events with a lag, and drops some of them. */
export interface CacheEventFeed {
    /** Publishes an event after the lag, unless it is dropped. */
    publish(kind: "stored" | "removed" | "cleared", hashes: readonly string[]): void;
    /**
     * Streams events to a client.
     * @param response - The client's response, which stays open.
     * @param fromNumber - The sequence number of the first event to send.
     */
    addWatcher(response: ServerResponse, fromNumber: number): void;
}
