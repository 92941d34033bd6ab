/*
 * Waits for operations that may never complete.
 */
import { abortWait } from "./abortWait";
import { Clock } from "./Clock";

/**
 * Waits for an operation, up to a timeout.
 * @param clock - The clock that measures the timeout.
 * @param operation - The operation; it continues after the timeout.
 * @param timeoutMilliseconds - The timeout, in milliseconds.
 * @param signal - Ends the wait as the timeout does.
 * @returns The operation's result, or undefined after the timeout.
 */
export async function waitWithTimeout<T>(
    clock: Clock,
    operation: Promise<T>,
    timeoutMilliseconds: number,
    signal?: AbortSignal,
): Promise<T | undefined> {
    const timerAbort = new AbortController();
    const endTimer = () => abortWait(timerAbort);
    if (signal?.aborted) {
        endTimer();
    }
    signal?.addEventListener("abort", endTimer, { once: true });
    try {
        return await Promise.race([
            operation,
            clock.sleep(timeoutMilliseconds, timerAbort.signal).then(() => undefined),
        ]);
    }
    finally {
        signal?.removeEventListener("abort", endTimer);
        endTimer();
    }
}
