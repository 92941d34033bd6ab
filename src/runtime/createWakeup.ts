/*
 * Notifications between two tasks of a process.
 */
import { abortWait } from "./abortWait";
import { Clock } from "./Clock";
import { Wakeup } from "./Wakeup";

/**
 * Creates a wakeup for a single waiting task.
 * @param clock - The clock by which waits time out.
 */
export function createWakeup(clock: Clock): Wakeup {
    let isPending = false;
    let waitAbort: AbortController | undefined;
    return { wake, wait };

    function wake(): void {
        isPending = true;
        if (waitAbort) {
            abortWait(waitAbort);
        }
    }

    async function wait(milliseconds: number): Promise<boolean> {
        if (!isPending) {
            waitAbort = new AbortController();
            await clock.sleep(milliseconds, waitAbort.signal);
            waitAbort = undefined;
        }
        const wasWoken = isPending;
        isPending = false;
        return wasWoken;
    }
}
