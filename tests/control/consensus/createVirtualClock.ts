import { Clock } from "../../../src/runtime";

/** Time that passes only when the test says so. */
export interface VirtualClock {
    /** Gets the true time in milliseconds. */
    getMilliseconds(): number;
    /** Waits for a true time. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
    /** Lets time pass, one due timer after the other. */
    advance(milliseconds: number, afterStep?: () => void): Promise<void>;
    /** Lets time pass until a condition holds, or at most for a time. */
    advanceUntil(condition: () => boolean, milliseconds: number, afterStep?: () => void): Promise<boolean>;
    /** Creates the clock of one member, which may run faster or slower and start from any time. */
    createMemberClock(rate: number, offsetMilliseconds: number): Clock;
}

interface Timer {
    milliseconds: number;
    fire: () => void;
}

/** As with the machine's timers, no sleep is too short for time to pass. */
const minimumSleepMilliseconds = 0.01;
const wallStartMilliseconds = 1_700_000_000_000;

/** Creates a clock that stands at zero. */
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

    /** Keeps timers in order of time, and those of one time in order of insertion. */
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

/** Lets everything run that waits for no timer. */
function runPendingCallbacks(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
