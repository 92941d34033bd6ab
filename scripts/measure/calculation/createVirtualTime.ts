/*
 * Virtual time for simulations. Events run in order, and the clock jumps from one event to the next.
 */
import Heap from "heap-js";
import { Clock } from "../../../src/runtime";

interface TimedEvent {
    milliseconds: number;
    order: number;
    run: () => void;
}

/** Virtual time with its scheduled events. */
export interface VirtualTime {
    /** The clock for the code that is simulated. */
    clock: Clock;
    /**
     * Schedules a function.
     * @param milliseconds - The delay from now.
     * @param run - The function.
     */
    schedule(milliseconds: number, run: () => void): void;
    /**
     * Runs all events up to a time, and sets the clock to that time.
     * @param milliseconds - The end, counted from the start of virtual time.
     */
    runUntil(milliseconds: number): Promise<void>;
}

/** Creates virtual time that starts at 0. */
export function createVirtualTime(): VirtualTime {
    const events = new Heap<TimedEvent>((left, right) =>
        left.milliseconds - right.milliseconds || left.order - right.order
    );
    let now = 0;
    let nextOrder = 0;
    const getNow = () => now;
    return {
        clock: { getWallMilliseconds: getNow, getMonotonicMilliseconds: getNow, sleep },
        schedule,
        runUntil,
    };

    function schedule(milliseconds: number, run: () => void): void {
        events.push({ milliseconds: now + milliseconds, order: nextOrder++, run });
    }

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            signal?.addEventListener("abort", () => resolve(), { once: true });
            schedule(milliseconds, resolve);
        });
    }

    async function runUntil(end: number): Promise<void> {
        for (let next = events.peek(); next !== undefined && next.milliseconds <= end; next = events.peek()) {
            events.pop();
            now = next.milliseconds;
            next.run();
            await runPendingContinuations();
        }
        now = end;
    }
}

/** Waits until the continuations of all settled promises have run. */
function runPendingContinuations(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
