/*
 * How one task tells another that there is something to do.
 */
import { Clock } from "./Clock";
import { Wakeup } from "./Wakeup";

/**
 * Creates a wakeup for one waiting task.
 * @param clock - The passing of time.
 */
export function createWakeup(clock: Clock): Wakeup {
    let isPending = false;
    let waitAbort: AbortController | undefined;
    return { wake, wait };

    function wake(): void {
        isPending = true;
        waitAbort?.abort();
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
