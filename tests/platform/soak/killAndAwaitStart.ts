/*
 * Kills processes of the system under test and waits until they have been started again.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { SoakProcess } from "./SoakProcess";

const pollIntervalMilliseconds = 10;

/** Kills processes at the same moment, and resolves once each of them has been started again. */
export async function killAndAwaitStart(processes: readonly SoakProcess[]): Promise<void> {
    await Promise.all(processes.map(async process => {
        const earlierMilliseconds = process.getStartMilliseconds();
        await process.kill();
        while (process.getStartMilliseconds() === earlierMilliseconds) {
            await sleep(pollIntervalMilliseconds);
        }
    }));
}
