/*
 * Combines the caller's disconnection, the deadline and the end of the process into one signal.
 */
import { Clock } from "../runtime";
import { RequestSignal } from "./RequestSignal";

/**
 * Creates the signal of a request.
 * @param endSignals - Aborted once the caller has disconnected, or the process ends soon.
 * @param deadlineMilliseconds - The deadline on the monotonic clock, in milliseconds.
 * @param clock - The clock.
 */
export function createRequestSignal(
    endSignals: readonly AbortSignal[],
    deadlineMilliseconds: number,
    clock: Clock,
): RequestSignal {
    const ended = new AbortController();
    const released = new AbortController();
    const end = () => ended.abort();
    if (endSignals.some(endSignal => endSignal.aborted)) {
        end();
    }
    endSignals.forEach(endSignal => endSignal.addEventListener("abort", end, { once: true }));
    void clock.sleep(Math.max(0, deadlineMilliseconds - clock.getMonotonicMilliseconds()), released.signal)
        .then(() => {
            if (!released.signal.aborted) {
                end();
            }
        });
    return { signal: ended.signal, release };

    function release(): void {
        released.abort();
        endSignals.forEach(endSignal => endSignal.removeEventListener("abort", end));
    }
}
