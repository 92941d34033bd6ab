/*
 * A virtual clock for fault schedules. It advances to the next sleeper after a fixed number of turns of the event loop,
 * in which pending work finishes, so that a schedule of minutes takes milliseconds and is the same in every run.
 */
import { Clock } from "../../src/runtime";

interface Sleeper {
    wakeMilliseconds: number;
    wake(): void;
}

const idleTurnCount = 6;

/** A clock that can be stopped; pending sleeps then never resolve. */
interface VirtualClock extends Clock {
    stop(): void;
}

export function createVirtualClock(): VirtualClock {
    const sleepers: Sleeper[] = [];
    let now = 1_000;
    let isStopped = false;
    void run();
    return {
        getWallMilliseconds: () => now,
        getMonotonicMilliseconds: () => now,
        sleep,
        stop: () => {
            isStopped = true;
        },
    };

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const sleeper: Sleeper = { wakeMilliseconds: now + Math.max(0, milliseconds), wake: wakeSleeper };
            const index = sleepers.findIndex(other => other.wakeMilliseconds > sleeper.wakeMilliseconds);
            sleepers.splice(index === -1 ? sleepers.length : index, 0, sleeper);
            signal?.addEventListener("abort", wakeSleeper, { once: true });

            function wakeSleeper(): void {
                const position = sleepers.indexOf(sleeper);
                if (position !== -1) {
                    sleepers.splice(position, 1);
                }
                signal?.removeEventListener("abort", wakeSleeper);
                resolve();
            }
        });
    }

    async function run(): Promise<void> {
        while (!isStopped) {
            for (let turn = 0; turn < idleTurnCount; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            const next = sleepers[0];
            if (next !== undefined) {
                now = Math.max(now, next.wakeMilliseconds);
                next.wake();
            }
        }
    }
}
