/*
 * A clock whose time advances only when a test advances it.
 */
import { Clock } from "../../src/runtime";

/** A pending sleep. */
interface Sleeper {
    /** When the sleep ends, in milliseconds of the clock. */
    wakeMilliseconds: number;
    wake: () => void;
}

/** A clock that tests control. */
export interface ManualClock extends Clock {
    /** Advances the time, ends the sleeps that are due in order, and lets their continuations run. */
    advance(milliseconds: number): Promise<void>;
    /** Advances the time while nothing runs, as when the event loop stands still; sleeps that are due end late. */
    standStill(milliseconds: number): Promise<void>;
}

/** Creates a clock whose wall-clock and monotonic times start at 0. */
export function createManualClock(): ManualClock {
    const sleepers = new Set<Sleeper>();
    let nowMilliseconds = 0;
    return {
        getWallMilliseconds: () => nowMilliseconds,
        getMonotonicMilliseconds: () => nowMilliseconds,
        sleep,
        advance,
        standStill,
    };

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const sleeper = { wakeMilliseconds: nowMilliseconds + milliseconds, wake };
            sleepers.add(sleeper);
            signal?.addEventListener("abort", wake, { once: true });

            function wake(): void {
                sleepers.delete(sleeper);
                signal?.removeEventListener("abort", wake);
                resolve();
            }
        });
    }

    async function advance(milliseconds: number): Promise<void> {
        const endMilliseconds = nowMilliseconds + milliseconds;
        await runPendingContinuations();
        for (let next = getNextSleeper(endMilliseconds); next !== undefined; next = getNextSleeper(endMilliseconds)) {
            nowMilliseconds = Math.max(nowMilliseconds, next.wakeMilliseconds);
            next.wake();
            await runPendingContinuations();
        }
        nowMilliseconds = endMilliseconds;
        await runPendingContinuations();
    }

    async function standStill(milliseconds: number): Promise<void> {
        nowMilliseconds += milliseconds;
        await advance(0);
    }

    function getNextSleeper(endMilliseconds: number): Sleeper | undefined {
        return [...sleepers]
            .filter(sleeper => sleeper.wakeMilliseconds <= endMilliseconds)
            .sort((left, right) => left.wakeMilliseconds - right.wakeMilliseconds)[0];
    }
}

/** Lets all pending continuations run. */
function runPendingContinuations(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
