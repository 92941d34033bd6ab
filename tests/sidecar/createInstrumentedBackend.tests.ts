import { expect } from "chai";
import { EngineAdapter, EngineEvent, FailureCause, ServiceAdapter, ServiceEvent } from "../../src/backends";
import { CounterName, createMetrics } from "../../src/metrics";
import { Backend, createInstrumentedBackend } from "../../src/sidecar";

describe("createInstrumentedBackend", () => {
    const crossed = {
        kind: "failed",
        hasSent: true,
        message: "crossed",
        cause: FailureCause.RequestIdMismatch,
    } as const;
    const lost = { kind: "failed", hasSent: true, message: "lost", cause: FailureCause.ConnectionLost } as const;

    interface Expected {
        crossed: number;
        late: number;
    }

    async function* createResponse<T>(events: readonly T[]): AsyncGenerator<T> {
        for (const event of events) {
            yield await Promise.resolve(event);
        }
    }

    /** Passes events through, aborts the call after the given number of events, and checks the counts. */
    async function doTestResponse<T>(
        backend: Backend,
        start: (backend: Backend, signal: AbortSignal) => AsyncIterable<T>,
        events: readonly T[],
        abortAt: number | undefined,
        expected: Expected,
    ): Promise<void> {
        const metrics = createMetrics();
        const abort = new AbortController();
        const passed: T[] = [];
        if (abortAt === 0) {
            abort.abort();
        }
        for await (const event of start(createInstrumentedBackend(backend, metrics), abort.signal)) {
            passed.push(event);
            if (passed.length === abortAt) {
                abort.abort();
            }
        }
        expect(passed).to.deep.equal(events);
        expect(metrics.getCount(CounterName.CrossedResponses)).to.equal(expected.crossed);
        expect(metrics.getCount(CounterName.LateResponses)).to.equal(expected.late);
    }

    describe("engine", () => {
        const text = { kind: "text", text: "a", tokens: 1 } as const;

        async function doTest(events: readonly EngineEvent[], abortAt: number | undefined, expected: Expected) {
            const adapter = { complete: () => createResponse(events) } as unknown as EngineAdapter;
            const backend = { kind: "engine", adapter, index: undefined } as unknown as Backend;
            const start = (counted: Backend, signal: AbortSignal) =>
                (counted.adapter as EngineAdapter).complete({} as never, signal);
            await doTestResponse(backend, start, events, abortAt, expected);
        }

        it("counts nothing for a correct response", () => doTest([text, text], undefined, { crossed: 0, late: 0 }));
        it("counts a crossed response", () => doTest([text, crossed], undefined, { crossed: 1, late: 0 }));
        it("does not count a lost connection", () => doTest([text, lost], undefined, { crossed: 0, late: 0 }));
        it("counts a response that continues after the call was cancelled, once", () =>
            doTest([text, text, text], 1, { crossed: 0, late: 1 }));
        it("does not count a failure as a late response", () => doTest([text, lost], 1, { crossed: 0, late: 0 }));
    });

    describe("service", () => {
        const body = { kind: "body", data: new Uint8Array(1) } as const;

        async function doTest(events: readonly ServiceEvent[], abortAt: number | undefined, expected: Expected) {
            const adapter = { call: () => createResponse(events) } as unknown as ServiceAdapter;
            const start = (counted: Backend, signal: AbortSignal) =>
                (counted.adapter as ServiceAdapter).call("a", {} as never, signal);
            await doTestResponse({ kind: "service", adapter }, start, events, abortAt, expected);
        }

        it("counts a crossed response", () => doTest([crossed], undefined, { crossed: 1, late: 0 }));
        it("counts a response that starts after the call was cancelled", () =>
            doTest([body, { kind: "end" }], 0, { crossed: 0, late: 1 }));
    });
});
