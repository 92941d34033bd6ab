/*
 * The interface of the counter of connections that were reset.
 */
import type { Socket } from "node:net";

/** Counts the watched connections that the other side has reset. */
export interface ResetCounter {
    /**
     * Watches a connection. Must be called before the HTTP library adds its own listeners, so that a reset is counted
     * before the library ends the response.
     * @param socket - The socket, once it is connected.
     */
    watch(socket: Socket): void;
    /** Gets the number of resets so far. */
    getCount(): number;
}
