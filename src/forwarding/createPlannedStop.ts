/*
 * Decides which requests an entry process takes in a planned stop, and when it answers the rest. Callers learn of the stop
 * with a delay. A request that arrives after that, and whose time limit lies beyond the end, would be cut off without an
 * answer if its backend server took long, although another entry process could have served it.
 */
import { setMaxListeners } from "node:events";
import { Clock, runAfter } from "../runtime";
import { PlannedStop } from "./PlannedStop";

/**
 * Creates a stop that has not begun.
 * @param clock - The clock.
 */
export function createPlannedStop(clock: Clock): PlannedStop {
    const controller = new AbortController();
    // Each request in progress listens.
    setMaxListeners(0, controller.signal);
    let welcomeEndMilliseconds = Infinity;
    let answerTimeMilliseconds = Infinity;
    return {
        signal: controller.signal,
        hasBegun: () => answerTimeMilliseconds < Infinity,
        begin,
        isTooLate: deadlineMilliseconds =>
            clock.getMonotonicMilliseconds() >= welcomeEndMilliseconds && deadlineMilliseconds > answerTimeMilliseconds,
    };

    function begin(welcomeMilliseconds: number, answerMilliseconds: number): void {
        if (answerTimeMilliseconds < Infinity) {
            return;
        }
        const now = clock.getMonotonicMilliseconds();
        welcomeEndMilliseconds = now + welcomeMilliseconds;
        answerTimeMilliseconds = now + answerMilliseconds;
        runAfter(clock, answerMilliseconds, () => controller.abort());
    }
}
