/*
 * Waits for operations that may never complete.
 */
import { Clock } from "./Clock";

/**
 * Waits for an operation, up to a timeout.
 * @param clock - The clock that measures the timeout.
 * @param operation - The operation; it continues after the timeout.
 * @param timeoutMilliseconds - The timeout, in milliseconds.
 * @returns The operation's result, or undefined after the timeout.
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
