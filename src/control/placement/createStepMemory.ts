/*
 * Spaces out attempts at the same order for the same sidecar. The memory is the leader's own: a new leader starts
 * with an empty one, which costs an early attempt at most.
 */
import { Clock } from "../../runtime";
import { RolloutTiming } from "./RolloutTiming";
import { StepMemory } from "./StepMemory";

interface Attempts {
    order: string;
    count: number;
    notBeforeMilliseconds: number;
}

/**
 * Creates the memory.
 * @param clock - The passing of time.
 * @param timing - How long sidecars are left alone.
 */
export function createStepMemory(clock: Clock, timing: RolloutTiming): StepMemory {
    const attemptsBySidecar = new Map<string, Attempts>();
    return { addAttempt, removeAttempts, isWaiting };

    function addAttempt(sidecar: string, order: string): void {
        const former = attemptsBySidecar.get(sidecar);
        const count = former?.order === order ? former.count + 1 : 1;
        const pause = Math.min(timing.maximumRetryMilliseconds, timing.retryMilliseconds * 2 ** (count - 1));
        const notBeforeMilliseconds = clock.getMonotonicMilliseconds() + pause;
        attemptsBySidecar.set(sidecar, { order, count, notBeforeMilliseconds });
    }

    function removeAttempts(sidecar: string): void {
        attemptsBySidecar.delete(sidecar);
    }

    function isWaiting(sidecar: string, order: string): boolean {
        const attempts = attemptsBySidecar.get(sidecar);
        const now = clock.getMonotonicMilliseconds();
        return attempts !== undefined && attempts.order === order && now < attempts.notBeforeMilliseconds;
    }
}
