/*
 * Implements the response channel as a queue with one writer and one reader.
 */
import { ResponseEvent } from "../ResponseEvent";
import { ResponseChannel } from "./ResponseChannel";

/**
 * Creates an empty channel.
 * @param maximumPendingBytes - How many bytes of the body may be queued before the writer has to wait.
 */
export function createResponseChannel(maximumPendingBytes: number): ResponseChannel {
    const events: ResponseEvent[] = [];
    const waiters = new Set<() => void>();
    let pendingBytes = 0;
    let isClosed = false;
    let hasReaderLeft = false;
    return { push, close, read };

    async function push(event: ResponseEvent): Promise<void> {
        if (hasReaderLeft) {
            return;
        }
        events.push(event);
        pendingBytes += getBodyBytes(event);
        wakeWaiters();
        while (pendingBytes > maximumPendingBytes && !hasReaderLeft) {
            await waitForChange();
        }
    }

    function close(): void {
        isClosed = true;
        wakeWaiters();
    }

    async function* read(signal: AbortSignal): AsyncGenerator<ResponseEvent> {
        signal.addEventListener("abort", wakeWaiters, { once: true });
        try {
            while (!signal.aborted) {
                const event = events.shift();
                if (event !== undefined) {
                    pendingBytes -= getBodyBytes(event);
                    wakeWaiters();
                    yield event;
                }
                else if (isClosed) {
                    return;
                }
                else {
                    await waitForChange();
                }
            }
        }
        finally {
            hasReaderLeft = true;
            signal.removeEventListener("abort", wakeWaiters);
            wakeWaiters();
        }
    }

    function waitForChange(): Promise<void> {
        return new Promise(resolve => {
            waiters.add(resolve);
        });
    }

    function wakeWaiters(): void {
        const resolves = [...waiters];
        waiters.clear();
        resolves.forEach(resolve => resolve());
    }
}

function getBodyBytes(event: ResponseEvent): number {
    return event.kind === "body" ? event.data.length : 0;
}
