/*
 * A clock that runs scheduled events, faster than one that lets the event loop turn after each sleep.
 */
import { Clock } from "../../src/runtime";

/** The number of microtask turns after an event, by which the continuations of a decision have run. */
const turnsPerEvent = 12;

/** Creates a clock at 0, which runs what is scheduled in the order of time. */
export function createEventClock() {
    const events: { time: number; action: () => void; }[] = [];
    let nowMilliseconds = 0;
    const clock: Clock = {
        getMonotonicMilliseconds: () => nowMilliseconds,
        getWallMilliseconds: () => nowMilliseconds,
        sleep: (milliseconds, signal) =>
            new Promise(resolve => {
                schedule(nowMilliseconds + milliseconds, resolve);
                signal?.addEventListener("abort", () => resolve(), { once: true });
            }),
    };
    return { clock, schedule, run };

    /** Inserts an event behind those of the same time; the next one is the last of the list. */
    function schedule(time: number, action: () => void): void {
        let [low, high] = [0, events.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            [low, high] = events[middle]!.time <= time ? [low, middle] : [middle + 1, high];
        }
        events.splice(low, 0, { time, action });
    }

    /** Runs the events up to a time. */
    async function run(endMilliseconds: number): Promise<void> {
        while (events.length > 0 && events.at(-1)!.time <= endMilliseconds) {
            const event = events.pop()!;
            nowMilliseconds = Math.max(nowMilliseconds, event.time);
            event.action();
            for (let turn = 0; turn < turnsPerEvent; turn++) {
                await undefined;
            }
        }
    }
}
