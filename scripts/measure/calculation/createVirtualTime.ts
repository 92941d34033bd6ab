/*
 * Time for calculations: events run in order, and the clock jumps from one to the next.
 */
import Heap from "heap-js";
import { Clock } from "../../../src/runtime";

interface TimedEvent {
    milliseconds: number;
    order: number;
    run: () => void;
}

/** Virtual time and the events that wait in it. */
export interface VirtualTime {
    /** The clock that the code under calculation is given. */
    clock: Clock;
    /** Runs something after a time. */
    schedule(milliseconds: number, run: () => void): void;
    /** Runs all events up to a time. */
    runUntil(milliseconds: number): Promise<void>;
}

/** Creates virtual time that stands at 0. */
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

/** Lets every pending continuation run. */
function runPendingContinuations(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
