/*
 * A clock that a test drives: time passes only when everything that could happen now has happened.
 */
import { Clock } from "../../../src/runtime";

/** A clock in a test's hands. */
export interface TestClock extends Clock {
    /** Lets time pass until a condition holds or a time has come; tells whether the condition holds. */
    runUntil(condition: () => boolean, untilMilliseconds: number): Promise<boolean>;
}

interface Sleeper {
    wakeMilliseconds: number;
    order: number;
    wake(): void;
}

/** Creates a clock that stands at 0. */
export function createTestClock(): TestClock {
    const sleepers = new Set<Sleeper>();
    let now = 0;
    let count = 0;
    return { getWallMilliseconds: () => now, getMonotonicMilliseconds: () => now, sleep, runUntil };

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const sleeper = { wakeMilliseconds: now + Math.max(0, milliseconds), order: count++, wake };
            sleepers.add(sleeper);
            signal?.addEventListener("abort", wake, { once: true });

            function wake(): void {
                signal?.removeEventListener("abort", wake);
                sleepers.delete(sleeper);
                resolve();
            }
        });
    }

    async function runUntil(condition: () => boolean, untilMilliseconds: number): Promise<boolean> {
        await flushPromises();
        while (!condition() && now < untilMilliseconds) {
            const next = getNextSleeper();
            now = Math.min(next?.wakeMilliseconds ?? untilMilliseconds, untilMilliseconds);
            if (next !== undefined && next.wakeMilliseconds <= now) {
                next.wake();
            }
            await flushPromises();
        }
        return condition();
    }

    function getNextSleeper(): Sleeper | undefined {
        let first: Sleeper | undefined;
        for (const sleeper of sleepers) {
            if (first === undefined || isBefore(sleeper, first)) {
                first = sleeper;
            }
        }
        return first;
    }

    function isBefore(sleeper: Sleeper, other: Sleeper): boolean {
        const difference = sleeper.wakeMilliseconds - other.wakeMilliseconds;
        return difference === 0 ? sleeper.order < other.order : difference < 0;
    }

    /** Lets all promises that can settle now do so. */
    function flushPromises(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}
