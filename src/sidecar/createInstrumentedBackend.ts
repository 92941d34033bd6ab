/*
 * Counts the answers of a backend server that were not passed on: those of another request, and those that came after
 * their request was given up.
 */
import { EngineEvent, FailureCause, ServiceEvent } from "../backends";
import { assertNever } from "../errors";
import { CounterName, Metrics } from "../metrics";
import { Backend } from "./Backend";

/**
 * Creates a backend server whose crossed and late answers are counted. Its events are the same.
 * @param backend - The backend server.
 * @param metrics - What is counted.
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

    /** Passes an answer's events on, and counts the answer once where it is crossed, and once where it is late. */
    async function* countResponse<T extends EngineEvent | ServiceEvent>(
        events: AsyncIterable<T>,
        signal: AbortSignal,
    ): AsyncGenerator<T> {
        let isLate = false;
        for await (const event of events) {
            if (event.kind === "failed" && event.cause === FailureCause.Crossed) {
                metrics.addCount(CounterName.CrossedAnswers);
            }
            if (event.kind !== "failed" && signal.aborted && !isLate) {
                isLate = true;
                metrics.addCount(CounterName.LateAnswers);
            }
            yield event;
        }
    }
}
