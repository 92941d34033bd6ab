/*
 * Waits for a signal to stop the process.
 */

/** Waits for SIGINT or SIGTERM, and keeps them from ending the process at once. */
export function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
}
