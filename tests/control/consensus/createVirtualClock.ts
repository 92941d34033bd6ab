import { Clock } from "../../../src/runtime";

/** A simulated clock that advances only on request. */
export interface VirtualClock {
    /** Gets the simulated time, in milliseconds. */
    getMilliseconds(): number;
    /** Waits for a duration of simulated time. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
    /** Advances the time from one due timer to the next. */
    advance(milliseconds: number, afterStep?: () => void): Promise<void>;
    /** Advances the time until a condition holds, or by a maximum; returns whether the condition holds. */
    advanceUntil(condition: () => boolean, milliseconds: number, afterStep?: () => void): Promise<boolean>;
    /** Creates the clock of one member, with its own rate and start. */
    createMemberClock(rate: number, offsetMilliseconds: number): Clock;
}

interface Timer {
    milliseconds: number;
    fire: () => void;
}

/** Time advances by at least this much in every sleep, as with real timers. */
const minimumSleepMilliseconds = 0.01;
const wallStartMilliseconds = 1_700_000_000_000;

/** Creates a clock at time zero. */
export function createVirtualClock(): VirtualClock {
    let now = 0;
    const timers: Timer[] = [];
    return { getMilliseconds: () => now, sleep, advance, advanceUntil, createMemberClock };

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer: Timer = { milliseconds: now + Math.max(milliseconds, minimumSleepMilliseconds), fire };
            insert(timer);
            signal?.addEventListener("abort", abort, { once: true });

            function fire(): void {
                signal?.removeEventListener("abort", abort);
                resolve();
            }

            function abort(): void {
                timers.splice(timers.indexOf(timer), 1);
                resolve();
            }
        });
    }

    /** Inserts a timer in order of time; timers of the same time keep their order of insertion. */
    function insert(timer: Timer): void {
        let position = timers.length;
        while (position > 0 && timers[position - 1]!.milliseconds > timer.milliseconds) {
            position -= 1;
        }
        timers.splice(position, 0, timer);
    }

    async function advance(milliseconds: number, afterStep?: () => void): Promise<void> {
        await advanceUntil(() => false, milliseconds, afterStep);
    }

    async function advanceUntil(
        condition: () => boolean,
        milliseconds: number,
        afterStep?: () => void,
    ): Promise<boolean> {
        const end = now + milliseconds;
        await runPendingCallbacks();
        while (!condition()) {
            const due = timers[0];
            if (!due || due.milliseconds > end) {
                now = end;
                return condition();
            }
            now = Math.max(now, due.milliseconds);
            while (timers[0] && timers[0].milliseconds <= now) {
                timers.shift()!.fire();
            }
            await runPendingCallbacks();
            afterStep?.();
        }
        return true;
    }

    function createMemberClock(rate: number, offsetMilliseconds: number): Clock {
        return {
            getMonotonicMilliseconds: () => offsetMilliseconds + now * rate,
            getWallMilliseconds: () => wallStartMilliseconds + now * rate,
            sleep: (milliseconds, signal) => sleep(milliseconds / rate, signal),
        };
    }
}

/** Runs all pending callbacks that do not wait for a timer. */
function runPendingCallbacks(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
