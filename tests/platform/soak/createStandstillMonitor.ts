/*
 * Observes how long the event loop of the soak itself, and with it callers, proxies and stand-ins, stands still.
 */

const intervalMilliseconds = 10;
/** Timers that are late by less are no standstill, in milliseconds. */
const toleratedMilliseconds = 10;

/** The standstills of the event loop. */
export interface StandstillMonitor {
    /**
     * Gets for how long the event loop stood still within a period, in milliseconds.
     * @param fromMilliseconds - The start of the period, in milliseconds since the epoch.
     * @param toMilliseconds - The end of the period, in milliseconds since the epoch.
     */
    getStillMilliseconds(fromMilliseconds: number, toMilliseconds: number): number;
    stop(): void;
}

/** Starts to observe. */
export function createStandstillMonitor(): StandstillMonitor {
    const standstills: { from: number; to: number; }[] = [];
    let lastMilliseconds = Date.now();
    const timer = setInterval(observe, intervalMilliseconds);
    return {
        getStillMilliseconds: (from, to) => {
            observe();
            return standstills.reduce(
                (sum, standstill) => sum + Math.max(0, Math.min(to, standstill.to) - Math.max(from, standstill.from)),
                0,
            );
        },
        stop: () => clearInterval(timer),
    };

    function observe(): void {
        const now = Date.now();
        if (now - lastMilliseconds > intervalMilliseconds + toleratedMilliseconds) {
            standstills.push({ from: lastMilliseconds + intervalMilliseconds, to: now });
        }
        lastMilliseconds = now;
    }
}
