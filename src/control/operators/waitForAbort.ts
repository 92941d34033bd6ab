/*
 * Waits for an abort signal.
 */
import { once } from "node:events";

/**
 * Waits until a signal is aborted; returns at once if it is already.
 * @param signal - The signal.
 */
export async function waitForAbort(signal: AbortSignal): Promise<void> {
    if (!signal.aborted) {
        await once(signal, "abort");
    }
}
