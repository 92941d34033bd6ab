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

/** The options of `writeWithoutEnd`. */
interface WriteOptions {
    /** The connection. */
    socket: Socket;
    /** The id of the request on it. */
    requestId: string;
    /** Records a connection that stays open. */
    runTracker: RunTracker;
    /** Returns whether closes of connections arrive late; such time doesn't count. */
    isBehind(): boolean;
}

/** Writes until the connection is closed. */
export async function writeWithoutEnd({ socket, requestId, runTracker, isBehind }: WriteOptions): Promise<void> {
    let startMilliseconds = Date.now();
    while (!socket.destroyed) {
        if (isBehind()) {
            startMilliseconds = Date.now();
        }
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
