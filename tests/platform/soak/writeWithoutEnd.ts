/*
 * Writes bytes without end to a connection, and checks that they are not received forever.
 */
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { RunTracker } from "./RunTracker";

const block = Buffer.alloc(16_384, "x");
const intervalMilliseconds = 5;
/** The callers' deadline and some time to close the connection. */
const maximumMilliseconds = 4_000;

/**
 * Writes until the connection is closed.
 * @param socket - The connection.
 * @param requestId - The id of the request on it.
 * @param runTracker - Records a connection that stays open.
 */
export async function writeWithoutEnd(socket: Socket, requestId: string, runTracker: RunTracker): Promise<void> {
    const startMilliseconds = Date.now();
    while (!socket.destroyed) {
        if (Date.now() - startMilliseconds > maximumMilliseconds && runTracker.isStable()) {
            runTracker.addBreach(`the connection of ${requestId} stays open, though its bytes have no end`);
            socket.destroy();
            return;
        }
        if (socket.writableLength < block.length) {
            socket.write(block);
        }
        await sleep(intervalMilliseconds);
    }
}
