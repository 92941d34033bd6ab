/*
 * The system clock.
 */
import { Clock } from "./Clock";

/** The longest time for which a timer of Node.js can be set; longer ones run out at once. */
const maximumTimerMilliseconds = 2 ** 31 - 1;

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
        const endMilliseconds = performance.now() + milliseconds;
        return new Promise(resolve => {
            let timer = startTimer(milliseconds);
            signal?.addEventListener("abort", abort, { once: true });

            function startTimer(remainingMilliseconds: number): NodeJS.Timeout {
                return remainingMilliseconds > maximumTimerMilliseconds
                    ? setTimeout(restartTimer, maximumTimerMilliseconds)
                    : setTimeout(finish, remainingMilliseconds);
            }

            function restartTimer(): void {
                timer = startTimer(endMilliseconds - performance.now());
            }

            function finish(): void {
                signal?.removeEventListener("abort", abort);
                resolve();
            }

            function abort(): void {
                clearTimeout(timer);
                resolve();
            }
        });
    }
}
