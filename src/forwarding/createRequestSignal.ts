/*
 * Combines the caller's disconnection, the deadline and the end of the process into one signal.
 */
import { abortWait, Clock, detach } from "../runtime";
import { RequestSignal } from "./RequestSignal";
import { RequestSignalOptions } from "./RequestSignalOptions";

/**
 * Creates the signal of a request.
 * @param options - The deadline and what else ends the request.
 * @param clock - The clock.
 */
export function createRequestSignal(options: RequestSignalOptions, clock: Clock): RequestSignal {
    const { endSignals, answerMilliseconds, deadlineMilliseconds } = options;
    const ended = new AbortController();
    const released = new AbortController();
    let endMilliseconds = answerMilliseconds;
    const end = () => ended.abort();
    if (endSignals.some(endSignal => endSignal.aborted)) {
        end();
    }
    endSignals.forEach(endSignal => endSignal.addEventListener("abort", end, { once: true }));
    detach(endInTime());
    return {
        signal: ended.signal,
        getEndMilliseconds: () => endMilliseconds,
        recordResponseBegun: () => void (endMilliseconds = deadlineMilliseconds),
        release,
    };

    async function endInTime(): Promise<void> {
        let remainingMilliseconds = getRemainingMilliseconds();
        while (remainingMilliseconds > 0 && !released.signal.aborted) {
            await clock.sleep(remainingMilliseconds, released.signal);
            remainingMilliseconds = getRemainingMilliseconds();
        }
        if (!released.signal.aborted) {
            end();
        }
    }

    function getRemainingMilliseconds(): number {
        return endMilliseconds - clock.getMonotonicMilliseconds();
    }

    function release(): void {
        abortWait(released);
        endSignals.forEach(endSignal => endSignal.removeEventListener("abort", end));
    }
}
