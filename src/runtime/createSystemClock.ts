/*
 * The system clock.
 */
import { Clock } from "./Clock";

/** Creates a clock that reads the system's time and waits with timers. */
export function createSystemClock(): Clock {
    return {
        getWallMilliseconds: () => Date.now(),
        getMonotonicMilliseconds: () => performance.now(),
        sleep,
    };

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = setTimeout(finish, milliseconds);
            signal?.addEventListener("abort", finish, { once: true });

            function finish(): void {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            }
        });
    }
}
