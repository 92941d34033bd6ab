/*
 * Writes responses with backpressure, and disconnects callers that stop reading.
 */
import { ServerResponse } from "node:http";
import { CounterName, Metrics } from "../metrics";
import { breakOffResponse, Clock } from "../runtime";

const maximumStallMilliseconds = 30_000;

/**
 * Writes to a response, and waits where its buffer is full. Disconnects a caller that reads too slowly to drain the
 * buffer in time.
 * @param options - The clock and the metrics.
 * @param response - The response to write to.
 * @param data - The data to write.
 * @returns A promise that resolves when more can be written, or the caller has disconnected.
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
        breakOffResponse(response);
    }
}

/** Waits until a response can accept more data or its connection has closed. */
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
