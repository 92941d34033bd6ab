/*
 * Ends a caller's connection so that what has been written on it arrives. A connection that is closed with unread bytes, or on
 * which bytes arrive later, is reset, and with it goes what the caller has not received yet.
 */
import { Socket } from "node:net";
import { Clock } from "./Clock";
import { detach } from "./detach";
import { getReadGate } from "./getReadGate";

/** How many bytes are sent without waiting for the caller, in bytes: the first window of a connection. */
const firstWindowBytes = 14_000;
/** How long the caller may take to close its side, in milliseconds: the time to receive a long response. */
const closeTimeoutMilliseconds = 2_000;
/** How much of a request that was refused is discarded, in bytes; the rest is not read, and delays its sender only. */
const maximumDiscardedBytes = 131_072;

/**
 * Ends this side of a connection, discards what arrives, and closes it once the caller has ended its side. A connection that
 * has carried little is closed at once, unless its caller is still sending a request.
 * @param socket - The connection.
 * @param clock - The clock by which the caller's end is awaited.
 * @param isReceiving - Whether more of a refused request may arrive.
 */
export function endAfterSending(socket: Socket, clock: Clock, isReceiving: boolean): void {
    if (socket.bytesWritten <= firstWindowBytes && !isReceiving) {
        Socket.prototype.destroySoon.call(socket);
        return;
    }
    if (socket.destroyed || socket.writableEnded) {
        return;
    }
    const closed = new AbortController();
    socket.once("close", () => closed.abort());
    // From now on the parser gets nothing, so that no later request is read.
    getReadGate(socket).release();
    socket.removeAllListeners("data");
    let discardedBytes = 0;
    socket.on("data", data => {
        discardedBytes += data.length;
        if (discardedBytes > maximumDiscardedBytes) {
            socket.pause();
        }
    });
    socket.resume();
    socket.end();
    detach(clock.sleep(closeTimeoutMilliseconds, closed.signal).then(() => socket.destroy()));
}
