import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { EngineAdapter, EngineEvent } from "../../src/backends";
import { CounterName, createMetrics } from "../../src/metrics";
import { CompletionWorkSchema, DispatchRequestSchema, RefusalReason, RunState } from "../../src/protocol";
import { createPrefixIndex, KvCacheTransfer } from "../../src/sidecar";
import { AttemptRun } from "../../src/sidecar/AttemptRun";
import { createAttemptRegistry } from "../../src/sidecar/attempts";
import { runCompletionAttempt } from "../../src/sidecar/runCompletionAttempt";
import { SidecarOptions } from "../../src/sidecar/SidecarOptions";
import { createManualClock } from "../support/createManualClock";

const incarnation = "companion-1";
const hashes = [..."abcdef"].map(letter => letter.repeat(32));

describe("a completion with the store of kept KV cache", () => {
    function createBench(keptCache: Partial<KvCacheTransfer>, version = "1") {
        const steps: string[] = [];
        const metrics = createMetrics();
        const work = create(CompletionWorkSchema, { model: "large", version: "1", body: Buffer.from("{}") });
        const request = create(DispatchRequestSchema, {
            requestId: "one",
            attempt: 1,
            workspace: "regie",
            companionIncarnation: incarnation,
            work: { case: "completion", value: work },
        });
        const begun = createAttemptRegistry({ incarnation, clock: createManualClock() }).begin(request);
        if (begun.kind === "refused") {
            throw new Error(begun.rejection.message);
        }
        const run: AttemptRun = {
            request,
            attempt: begun.attempt,
            prefixHashes: hashes,
            slot: { recordFirstToken: () => {}, release: () => void steps.push("released") },
            queueMilliseconds: 0,
            enginePriority: 0,
            getBackendState: () => ({
                isReady: true,
                isLeaving: false,
                incarnation: "engine-1",
                version,
                adapters: [],
                role: "both",
            }),
        };
        const adapter = { complete } as unknown as EngineAdapter;
        const options = {
            incarnation,
            metrics,
            authority: { getRevision: () => 1n },
            backend: { kind: "engine", adapter, index: createPrefixIndex() },
            kvCacheTransfer: { importPrefix: async () => 0, storePrefix: async () => {}, ...keptCache },
        } as unknown as SidecarOptions;
        return { attempt: begun.attempt, metrics, steps, runAll };

        async function* complete(): AsyncGenerator<EngineEvent> {
            steps.push("asked");
            yield { kind: "started", incarnation: "engine-1", version: "1" };
            yield { kind: "end", finishReason: "stop", promptTokens: 6, cachedTokens: 0, completionTokens: 1 };
        }

        async function runAll() {
            const events = [];
            for await (const event of runCompletionAttempt(options, run, work, undefined)) {
                events.push(event);
            }
            return events;
        }
    }

    it("imports before the engine is asked, under its scope, and counts", async () => {
        const bench = createBench({
            importPrefix: async scope => {
                bench.steps.push(`import ${scope.workspace}/${scope.model}/${scope.version}`);
                expect(bench.attempt.getRunState()).to.equal(RunState.NOT_RUN);
                return 5;
            },
        });
        await bench.runAll();
        expect(bench.steps).to.deep.equal(["import regie/large/1", "asked", "released"]);
        expect(bench.metrics.getCount(CounterName.KeptCacheImports)).to.equal(1);
        expect(bench.metrics.getCount(CounterName.KeptCacheImportedPieces)).to.equal(5);
    });

    it("ends the answer without waiting for what is kept", async () => {
        const bench = createBench({ storePrefix: () => new Promise(() => {}) });
        const events = await bench.runAll();
        expect(events.map(event => event.case)).to.deep.equal(["started", "end"]);
    });

    it("answers as ever where the store fails, and counts it", async () => {
        const fail = () => Promise.reject(new Error("lost"));
        const bench = createBench({ importPrefix: fail, storePrefix: fail });
        const events = await bench.runAll();
        await new Promise(resolve => setImmediate(resolve));
        expect(events.map(event => event.case)).to.deep.equal(["started", "end"]);
        expect(bench.metrics.getCount(CounterName.KeptCacheFailures)).to.equal(2);
    });

    async function doRefusalTest(bench: ReturnType<typeof createBench>, expected: RefusalReason): Promise<void> {
        const [event] = await bench.runAll();
        expect(event).to.deep.include({ case: "refused" });
        expect(event!.value).to.deep.include({ reason: expected, runState: RunState.NOT_RUN });
        expect(bench.steps).to.deep.equal(["released"]);
    }

    it("is cancelled within an import that never ends, and has not run", async () => {
        let given: AbortSignal | undefined;
        const bench = createBench({
            importPrefix: (...[, , signal]) => {
                given = signal;
                setImmediate(() => bench.attempt.cancel());
                return new Promise(() => {});
            },
        });
        await doRefusalTest(bench, RefusalReason.CANCELLED);
        expect(given?.aborted).to.equal(true);
    });

    it("has not run where the weights have changed within the import", () =>
        doRefusalTest(createBench({}, "2"), RefusalReason.WRONG_VERSION));
});
