/*
 * Combines the caller's disconnection and the deadline into one signal.
 */
import { Clock } from "../runtime";
import { RequestSignal } from "./RequestSignal";

/**
 * Creates the signal of a request.
 * @param callerSignal - Aborted once the caller has disconnected.
 * @param deadlineMilliseconds - The deadline on the monotonic clock, in milliseconds.
 * @param clock - The clock.
 */
export function createRequestSignal(
    callerSignal: AbortSignal,
    deadlineMilliseconds: number,
    clock: Clock,
): RequestSignal {
    const ended = new AbortController();
    const released = new AbortController();
    const end = () => ended.abort();
    if (callerSignal.aborted) {
        end();
    }
    callerSignal.addEventListener("abort", end, { once: true });
    void clock.sleep(Math.max(0, deadlineMilliseconds - clock.getMonotonicMilliseconds()), released.signal)
        .then(() => {
            if (!released.signal.aborted) {
                end();
            }
        });
    return { signal: ended.signal, release };

    function release(): void {
        released.abort();
        callerSignal.removeEventListener("abort", end);
    }
}
