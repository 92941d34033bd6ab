/*
 * A clock under the control of a test: time advances only when all pending callbacks have run.
 */
import { Clock } from "../../../src/runtime";

/** A clock whose time a test advances. */
export interface TestClock extends Clock {
    /** Advances the time until a condition holds or a time is reached; returns whether the condition holds. */
    runUntil(condition: () => boolean, untilMilliseconds: number): Promise<boolean>;
}

interface Sleeper {
    wakeMilliseconds: number;
    sequence: number;
    wake(): void;
}

/** Creates a clock that starts at 0. */
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
            const sleeper = { wakeMilliseconds: now + Math.max(0, milliseconds), sequence: count++, wake };
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
        return difference === 0 ? sleeper.sequence < other.sequence : difference < 0;
    }

    /** Lets all promises settle that can do so without advancing the time. */
    function flushPromises(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}
