/*
 * A clock that moves only when a test moves it.
 */
import { Clock } from "../../src/runtime";

interface Sleeper {
    wakeMilliseconds: number;
    wake: () => void;
}

/** A clock with a hand to move it by. */
export interface ManualClock extends Clock {
    /** Moves the time on, waking sleepers in order, and lets their continuations run. */
    advance(milliseconds: number): Promise<void>;
}

/** Creates a clock that stands at 0. */
export function createManualClock(): ManualClock {
    const sleepers = new Set<Sleeper>();
    let now = 0;
    return { getWallMilliseconds: () => now, getMonotonicMilliseconds: () => now, sleep, advance };

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const sleeper = { wakeMilliseconds: now + milliseconds, wake };
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
        const end = now + milliseconds;
        await settle();
        for (let next = getNext(end); next !== undefined; next = getNext(end)) {
            now = next.wakeMilliseconds;
            next.wake();
            await settle();
        }
        now = end;
        await settle();
    }

    function getNext(end: number): Sleeper | undefined {
        return [...sleepers]
            .filter(sleeper => sleeper.wakeMilliseconds <= end)
            .sort((left, right) => left.wakeMilliseconds - right.wakeMilliseconds)[0];
    }
}

/** Lets every pending continuation run. */
function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
