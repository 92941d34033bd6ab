/*
 * Simulates a rate limit that concurrent transfers share. Up to a given number of transfers run at full speed; more of
 * them share the total rate of that number.
 */
import { Clock } from "../../runtime";
import { SharedRate } from "./SharedRate";

/** A transfer in progress; its remaining time is measured at full speed. */
interface Transfer {
    remainingMilliseconds: number;
    complete(): void;
}

const completionToleranceMilliseconds = 1e-6;

/**
 * Creates a shared rate.
 * @param fullSpeedTransfers - The number of concurrent transfers that run at full speed.
 * @param transferMilliseconds - The duration of a transfer at full speed.
 * @param clock - The clock.
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

    /** Sleeps until the next transfer completes, while there are any. A new transfer interrupts the sleep. */
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

    /** Subtracts the progress since the last update from the remaining time of every transfer. */
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
            if (other.remainingMilliseconds <= completionToleranceMilliseconds) {
                transfers.delete(other);
                other.complete();
            }
        }
    }
}
