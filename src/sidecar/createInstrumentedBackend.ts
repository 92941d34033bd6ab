/*
 * Counts responses of a backend server that must not reach a caller: those that belong to another request, and those
 * that continue after their request was cancelled.
 */
import { EngineEvent, FailureCause, ServiceEvent } from "../backends";
import { assertNever } from "../errors";
import { CounterName, Metrics } from "../metrics";
import { Backend } from "./Backend";

/**
 * Wraps a backend server so that its crossed and late responses are counted. The events pass unchanged.
 * @param backend - The backend server.
 * @param metrics - Receives the counts.
 */
export function createInstrumentedBackend(backend: Backend, metrics: Metrics): Backend {
    switch (backend.kind) {
        case "engine": {
            const { adapter } = backend;
            const complete: typeof adapter.complete = (request, signal) =>
                countResponse(adapter.complete(request, signal), signal);
            return { ...backend, adapter: { ...adapter, complete } };
        }
        case "service": {
            const { adapter } = backend;
            const call: typeof adapter.call = (requestId, work, signal) =>
                countResponse(adapter.call(requestId, work, signal), signal);
            return { ...backend, adapter: { ...adapter, call } };
        }
        default:
            return assertNever(backend);
    }

    /** Passes a response's events on. Counts a response that is crossed, and counts one that is late once. */
    async function* countResponse<T extends EngineEvent | ServiceEvent>(
        events: AsyncIterable<T>,
        signal: AbortSignal,
    ): AsyncGenerator<T> {
        let isLate = false;
        for await (const event of events) {
            if (event.kind === "failed" && event.cause === FailureCause.RequestIdMismatch) {
                metrics.addCount(CounterName.CrossedResponses);
            }
            if (event.kind !== "failed" && signal.aborted && !isLate) {
                isLate = true;
                metrics.addCount(CounterName.LateResponses);
            }
            yield event;
        }
    }
}
