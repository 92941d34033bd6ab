/*
 * Bounds a wait for something that may not end by itself.
 */
import { Clock } from "./Clock";

/**
 * Waits for a result, or for a time.
 * @param clock - The passing of time.
 * @param operation - What is waited for; it goes on where the time ends first.
 * @param timeoutMilliseconds - The longest wait, in milliseconds.
 * @returns The result, or undefined where the time ended first.
 */
export async function waitWithTimeout<T>(
    clock: Clock,
    operation: Promise<T>,
    timeoutMilliseconds: number,
): Promise<T | undefined> {
    const timerAbort = new AbortController();
    try {
        return await Promise.race([
            operation,
            clock.sleep(timeoutMilliseconds, timerAbort.signal).then(() => undefined),
        ]);
    }
    finally {
        timerAbort.abort();
    }
}
