/*
 * Runs operations that end with a signal. `AbortSignal.any` does not serve for this with `AbortSignal.timeout`: nothing
 * but the combined signal refers to the timeout then, which Node collects as garbage before it has passed.
 */
import { abortWait } from "./abortWait";
import { Clock } from "./Clock";
import { runAfter } from "./runAfter";

/**
 * Runs an operation whose signal is aborted after a timeout, or together with another signal.
 * @param clock - The clock that measures the timeout.
 * @param timeoutMilliseconds - The timeout, in milliseconds.
 * @param signal - Also ends the operation.
 * @param operation - The operation; it has to end soon after its signal is aborted.
 * @returns The result of the operation.
 */
export async function runWithTimeout<T>(
    clock: Clock,
    timeoutMilliseconds: number,
    signal: AbortSignal | undefined,
    operation: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
    const limit = new AbortController();
    const ended = new AbortController();
    const abort = () => limit.abort();
    if (signal?.aborted) {
        abort();
    }
    signal?.addEventListener("abort", abort, { once: true });
    runAfter(clock, timeoutMilliseconds, () => ended.signal.aborted || limit.abort(), ended.signal);
    try {
        return await operation(limit.signal);
    }
    finally {
        signal?.removeEventListener("abort", abort);
        abortWait(ended);
    }
}
