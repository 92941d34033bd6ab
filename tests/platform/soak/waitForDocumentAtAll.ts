/*
 * Waits until all control members return the newest document, and go on to do so.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { soakBounds } from "./soakBounds";
import { SoakOperator } from "./SoakOperator";

const readIntervalMilliseconds = 100;
const millisecondsPerSecond = 1_000;

/**
 * Waits until all members return the newest document in time, and for the stable window without a break.
 * @param operator - Reads the document.
 * @param timeoutMilliseconds - How long it may take them; the recovery bound by default.
 * @returns The time until the first of these reads, in milliseconds, or what a member returned in its place.
 */
export async function waitForDocumentAtAll(
    operator: SoakOperator,
    timeoutMilliseconds = soakBounds.recovery_s * millisecondsPerSecond,
): Promise<number | string> {
    const startMilliseconds = Date.now();
    const endMilliseconds = startMilliseconds + timeoutMilliseconds;
    let firstReadMilliseconds: number | undefined;
    while (true) {
        const sentMilliseconds = Date.now();
        const problem = await operator.findUnreadableMember();
        firstReadMilliseconds = problem === undefined ? firstReadMilliseconds ?? sentMilliseconds : undefined;
        if (problem !== undefined && Date.now() > endMilliseconds) {
            return problem;
        }
        if (firstReadMilliseconds !== undefined && Date.now() - firstReadMilliseconds > soakBounds.stable_window_ms) {
            return firstReadMilliseconds - startMilliseconds;
        }
        await sleep(readIntervalMilliseconds);
    }
}
