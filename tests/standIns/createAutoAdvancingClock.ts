/*
 * A clock for tests that advances automatically: when the event loop is idle, it advances to the end of the next sleep.
 */
import { Clock } from "../../src/runtime";

interface Sleeper {
    time: number;
    wake(): void;
}

const idleEventLoopTurns = 3;

/** Creates a clock whose sleeps end in order of their time, without waiting in real time. */
export function createAutoAdvancingClock(): Clock {
    const sleepers: Sleeper[] = [];
    let now = 0;
    let isAdvancing = false;
    return { getWallMilliseconds: () => now, getMonotonicMilliseconds: () => now, sleep };

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const sleeper: Sleeper = { time: now + Math.max(0, milliseconds), wake: finish };
            const index = sleepers.findIndex(other => other.time > sleeper.time);
            sleepers.splice(index === -1 ? sleepers.length : index, 0, sleeper);
            signal?.addEventListener("abort", finish, { once: true });
            void advance();

            function finish(): void {
                const position = sleepers.indexOf(sleeper);
                if (position !== -1) {
                    sleepers.splice(position, 1);
                }
                signal?.removeEventListener("abort", finish);
                resolve();
            }
        });
    }

    async function advance(): Promise<void> {
        if (isAdvancing) {
            return;
        }
        isAdvancing = true;
        while (sleepers.length > 0) {
            for (let turn = 0; turn < idleEventLoopTurns; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            const next = sleepers[0];
            if (next !== undefined) {
                now = Math.max(now, next.time);
                next.wake();
            }
        }
        isAdvancing = false;
    }
}
