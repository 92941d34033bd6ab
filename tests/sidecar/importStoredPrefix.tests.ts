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

describe("a completion with a KV cache store", () => {
    function createHarness(kvCacheTransfer: Partial<KvCacheTransfer>, version = "1") {
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
            kvCacheTransfer: { importPrefix: async () => 0, storePrefix: async () => {}, ...kvCacheTransfer },
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

    it("imports before the engine gets the request, in the request's scope, and counts", async () => {
        const harness = createHarness({
            importPrefix: async scope => {
                harness.steps.push(`import ${scope.workspace}/${scope.model}/${scope.version}`);
                expect(harness.attempt.getRunState()).to.equal(RunState.NOT_RUN);
                return 5;
            },
        });
        await harness.runAll();
        expect(harness.steps).to.deep.equal(["import regie/large/1", "asked", "released"]);
        expect(harness.metrics.getCount(CounterName.KvCacheImports)).to.equal(1);
        expect(harness.metrics.getCount(CounterName.KvCacheImportedBlocks)).to.equal(5);
    });

    it("ends the response without waiting for the prefix to be stored", async () => {
        const harness = createHarness({ storePrefix: () => new Promise(() => {}) });
        const events = await harness.runAll();
        expect(events.map(event => event.case)).to.deep.equal(["started", "end"]);
    });

    it("responds as usual if the store fails, and counts the failures", async () => {
        const fail = () => Promise.reject(new Error("lost"));
        const harness = createHarness({ importPrefix: fail, storePrefix: fail });
        const events = await harness.runAll();
        await new Promise(resolve => setImmediate(resolve));
        expect(events.map(event => event.case)).to.deep.equal(["started", "end"]);
        expect(harness.metrics.getCount(CounterName.KvCacheFailures)).to.equal(2);
    });

    async function doRefusalTest(harness: ReturnType<typeof createHarness>, expected: RefusalReason): Promise<void> {
        const [event] = await harness.runAll();
        expect(event).to.deep.include({ case: "refused" });
        expect(event!.value).to.deep.include({ reason: expected, runState: RunState.NOT_RUN });
        expect(harness.steps).to.deep.equal(["released"]);
    }

    it("is cancelled during an import that never ends, and has not run", async () => {
        let importSignal: AbortSignal | undefined;
        const harness = createHarness({
            importPrefix: (...[, , signal]) => {
                importSignal = signal;
                setImmediate(() => harness.attempt.cancel());
                return new Promise(() => {});
            },
        });
        await doRefusalTest(harness, RefusalReason.CANCELLED);
        expect(importSignal?.aborted).to.equal(true);
    });

    it("has not run if the weights have changed during the import", () =>
        doRefusalTest(createHarness({}, "2"), RefusalReason.WRONG_VERSION));
});
