/*
 * Writes no faster than the reader reads, and gives up on a reader that does not read at all.
 */
import { ServerResponse } from "node:http";
import { CounterName, Metrics } from "../metrics";
import { Clock } from "../runtime";

const maximumStallMilliseconds = 30_000;

/**
 * Writes to a response, and waits where its buffer is full. A caller that takes nothing for too long is cut off.
 * @returns A promise that resolves once more can be written, or the caller has gone.
 */
export async function writeWithBackpressure(
    options: { clock: Clock; metrics: Metrics; },
    response: ServerResponse,
    data: string | Uint8Array,
): Promise<void> {
    if (response.destroyed || response.write(data)) {
        return;
    }
    const progress = new AbortController();
    const stalled = options.clock.sleep(maximumStallMilliseconds, progress.signal);
    await Promise.race([waitForDrain(response, progress), stalled]);
    if (!progress.signal.aborted) {
        options.metrics.addCount(CounterName.SlowCallers);
        response.destroy();
    }
}

/** Waits until a response can take more or has ended. */
function waitForDrain(response: ServerResponse, progress: AbortController): Promise<void> {
    return new Promise(resolve => {
        response.once("drain", finish);
        response.once("close", finish);

        function finish(): void {
            response.off("drain", finish);
            response.off("close", finish);
            progress.abort();
            resolve();
        }
    });
}
