import { Clock } from "../../src/runtime";

/** Time that advances only when a test requests it. */
export interface VirtualTime {
    /** Gets the time since the start, in milliseconds. */
    getNow(): number;
    /**
     * Creates a clock that follows this time.
     * @param rate - How fast the clock runs relative to this time; 1 by default.
     */
    createClock(rate?: number): Clock;
    /**
     * Advances the time and runs all tasks that become due.
     * @param milliseconds - How far to advance.
     */
    advance(milliseconds: number): Promise<void>;
}

const wallStartMilliseconds = 1_700_000_000_000;

/** Creates time that starts at 0 and doesn't advance by itself. */
export function createVirtualTime(): VirtualTime {
    const sleepers = new Set<{ at: number; wake: () => void; }>();
    let now = 0;
    return { getNow: () => now, createClock, advance };

    function createClock(rate = 1): Clock {
        return {
            getWallMilliseconds: () => wallStartMilliseconds + now * rate,
            getMonotonicMilliseconds: () => now * rate,
            sleep: (milliseconds, signal) => sleep(milliseconds / rate, signal),
        };
    }

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const sleeper = { at: now + Math.max(0, milliseconds), wake };
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
        await runTasks();
        while (true) {
            const next = Math.min(end, ...[...sleepers].map(sleeper => sleeper.at));
            now = Math.max(now, next);
            const due = [...sleepers].filter(sleeper => sleeper.at <= now);
            if (due.length === 0) {
                return;
            }
            due.forEach(sleeper => sleeper.wake());
            await runTasks();
        }
    }

    /** Runs all continuations of settled promises. */
    function runTasks(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}
