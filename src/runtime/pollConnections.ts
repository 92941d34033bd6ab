/*
 * Lets the event loop read what has arrived.
 */
import { setImmediate } from "node:timers/promises";

/**
 * Waits until the event loop has polled all connections once more, so that the process knows which of them have ended.
 * The rest of the current turn may still be that of an earlier poll.
 */
export async function pollConnections(): Promise<void> {
    await setImmediate();
    await setImmediate();
}
