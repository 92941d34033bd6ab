/*
 * Shares a rate among concurrent transfers: up to a number of them go at full speed, more share the rate of so many.
 */
import { Clock } from "../../runtime";
import { SharedRate } from "./SharedRate";

interface Transfer {
    remainingMilliseconds: number;
    complete(): void;
}

const completionTolerance = 1e-6;

/**
 * Creates a shared rate.
 * @param fullSpeedTransfers - How many transfers go at full speed at once.
 * @param transferMilliseconds - How long a transfer takes at full speed.
 */
export function createSharedRate(fullSpeedTransfers: number, transferMilliseconds: number, clock: Clock): SharedRate {
    const transfers = new Set<Transfer>();
    let lastUpdateMilliseconds = 0;
    let sleepInterruption = new AbortController();
    let isRunning = false;
    return { transfer, getTransferCount: () => transfers.size };

    function transfer(): Promise<void> {
        advance();
        return new Promise(resolve => {
            transfers.add({ remainingMilliseconds: transferMilliseconds, complete: resolve });
            sleepInterruption.abort();
            void run();
        });
    }

    /** Completes transfers in their turn, as long as there are any. */
    async function run(): Promise<void> {
        if (isRunning) {
            return;
        }
        isRunning = true;
        while (transfers.size > 0) {
            sleepInterruption = new AbortController();
            const shortest = Math.min(...[...transfers].map(other => other.remainingMilliseconds));
            await clock.sleep(shortest / getSpeed(), sleepInterruption.signal);
            advance();
            completeFinished();
        }
        isRunning = false;
    }

    function getSpeed(): number {
        return Math.min(1, fullSpeedTransfers / transfers.size);
    }

    /** Counts what was transferred since the last update. */
    function advance(): void {
        const now = clock.getMonotonicMilliseconds();
        const progress = transfers.size === 0 ? 0 : (now - lastUpdateMilliseconds) * getSpeed();
        for (const other of transfers) {
            other.remainingMilliseconds -= progress;
        }
        lastUpdateMilliseconds = now;
    }

    function completeFinished(): void {
        for (const other of transfers) {
            if (other.remainingMilliseconds <= completionTolerance) {
                transfers.delete(other);
                other.complete();
            }
        }
    }
}
