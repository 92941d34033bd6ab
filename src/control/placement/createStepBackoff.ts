/*
 * Delays the repetition of an order to the same sidecar exponentially. The attempts are not replicated: a new leader
 * starts without any, which leads to one early attempt at most.
 */
import { Clock } from "../../runtime";
import { RolloutTiming } from "./RolloutTiming";
import { StepBackoff } from "./StepBackoff";

interface OrderAttempts {
    order: string;
    count: number;
    nextAttemptMilliseconds: number;
}

/**
 * Creates a backoff without attempts.
 * @param clock - The clock that delays are measured on.
 * @param timing - The initial and the maximum delay.
 */
export function createStepBackoff(clock: Clock, timing: RolloutTiming): StepBackoff {
    const attemptsBySidecar = new Map<string, OrderAttempts>();
    return { recordAttempt, reset, isBackingOff };

    function recordAttempt(sidecar: string, order: string): void {
        const previous = attemptsBySidecar.get(sidecar);
        const count = previous?.order === order ? previous.count + 1 : 1;
        const delayMilliseconds = Math.min(
            timing.maximumRetryDelayMilliseconds,
            timing.initialRetryDelayMilliseconds * 2 ** (count - 1),
        );
        const nextAttemptMilliseconds = clock.getMonotonicMilliseconds() + delayMilliseconds;
        attemptsBySidecar.set(sidecar, { order, count, nextAttemptMilliseconds });
    }

    function reset(sidecar: string): void {
        attemptsBySidecar.delete(sidecar);
    }

    function isBackingOff(sidecar: string, order: string): boolean {
        const attempts = attemptsBySidecar.get(sidecar);
        const now = clock.getMonotonicMilliseconds();
        return attempts !== undefined && attempts.order === order && now < attempts.nextAttemptMilliseconds;
    }
}
