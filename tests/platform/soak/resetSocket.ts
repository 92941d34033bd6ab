/*
 * Resets TCP connections of the stand-ins and proxies of a soak.
 */
import type { Socket } from "node:net";

/**
 * Resets a connection. A connection that is not established yet, or whose end was sent already, is closed instead: a
 * reset of such a handle may never complete, and then keeps the process from exiting.
 * @param socket - The connection to reset.
 */
export function resetSocket(socket: Socket): void {
    if (socket.connecting || socket.writableEnded) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
}
