import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { request } from "undici";
import { createEngineAdapter, EngineEvent, EngineRequest } from "../../../src/backends";
import { OrderKind, OrderSchema } from "../../../src/protocol";
import { Clock } from "../../../src/runtime";
import {
    createWeightStoreSource,
    EngineStandIn,
    EngineStandInOptions,
    startEngineStandIn,
    startWeightStoreStandIn,
} from "../../../src/standIns";
import { createAutoAdvancingClock } from "../createAutoAdvancingClock";

const neverAborted = new AbortController().signal;

function createRequest(requestId: string, prompt: string, priority: number, maximumTokens = 1): EngineRequest {
    return {
        requestId,
        model: "large",
        version: "",
        cacheSalt: "{\"workspace\":\"regie\"}",
        body: { prompt, max_tokens: maximumTokens },
        isChat: false,
        priority,
        seed: 1n,
        skipTokens: 0,
    };
}

async function getLast(events: AsyncIterable<EngineEvent>): Promise<EngineEvent> {
    let last: EngineEvent | undefined;
    for await (const event of events) {
        last = event;
    }
    return last!;
}

function createOrder(index: bigint, version: string): ReturnType<typeof create<typeof OrderSchema>> {
    return create(OrderSchema, { number: { term: 1n, index }, kind: OrderKind.LOAD_VERSION, model: "large", version });
}

describe("startEngineStandIn", () => {
    async function withEngine(
        options: EngineStandInOptions,
        doTest: (
            parts: { engine: EngineStandIn; adapter: ReturnType<typeof createEngineAdapter>; clock: Clock; },
        ) => Promise<void>,
    ): Promise<void> {
        const clock = options.clock ?? createAutoAdvancingClock();
        const engine = await startEngineStandIn({ ...options, clock });
        const adapter = createEngineAdapter({ address: engine.address });
        await doTest({ engine, adapter, clock });
        await adapter.stop();
        await engine.stop();
    }

    it("takes prefill time only for uncached tokens", () =>
        withEngine({}, async ({ adapter, clock }) => {
            const prompt = "a".repeat(20_000);
            const start = clock.getMonotonicMilliseconds();
            await getLast(adapter.complete(createRequest("first", prompt, 1), neverAborted));
            const afterFirst = clock.getMonotonicMilliseconds();
            await getLast(adapter.complete(createRequest("second", prompt, 1), neverAborted));
            const afterSecond = clock.getMonotonicMilliseconds();
            expect(afterFirst - start).to.be.at.least(1_000);
            expect(afterSecond - afterFirst).to.be.below(300);
        }));

    it("prefills by priority, even during a long prompt", () =>
        withEngine({}, async ({ adapter }) => {
            const ended: string[] = [];
            const requests = [
                createRequest("long", "b".repeat(200_000), 3),
                createRequest("short", "c".repeat(1_000), 1),
            ];
            await Promise.all(requests.map(async item => {
                await getLast(adapter.complete(item, neverAborted));
                ended.push(item.requestId);
            }));
            expect(ended).to.deep.equal(["short", "long"]);
        }));

    it("computes a shared prefix once for requests that wait at the same time", () =>
        withEngine({}, async ({ engine, adapter }) => {
            const prompt = "d".repeat(8_192);
            const requests = ["first", "second", "third"].map(id => createRequest(id, prompt, 1));
            await Promise.all(requests.map(item => getLast(adapter.complete(item, neverAborted))));
            const cached = engine.getRunLog().map(record => record.cachedTokens).sort((a, b) => a - b);
            expect(cached).to.deep.equal([0, 8_191, 8_191]);
        }));

    it("does not share cached prefixes between scopes", () =>
        withEngine({}, async ({ engine, adapter }) => {
            const prompt = "e".repeat(8_192);
            await getLast(adapter.complete(createRequest("first", prompt, 1), neverAborted));
            const other = { ...createRequest("second", prompt, 1), cacheSalt: "{\"workspace\":\"corrib\"}" };
            await getLast(adapter.complete(other, neverAborted));
            expect(engine.getRunLog()[1]!.cachedTokens).to.equal(0);
        }));

    it("loads a version, clears the cache and refuses an old fencing token", () =>
        withEngine({}, async ({ engine, adapter }) => {
            await getLast(adapter.complete(createRequest("first", "f".repeat(4_096), 1), neverAborted));
            expect(await adapter.execute(createOrder(5n, "2"))).to.deep.equal({ kind: "done" });
            expect(engine.getVersion()).to.equal("2");
            expect(engine.getCachedHashes()).to.deep.equal([]);
            expect(await adapter.execute(createOrder(4n, "1"))).to.include({ kind: "refused" });
            expect(engine.getVersion()).to.equal("2");
        }));

    it("ignores fencing tokens if fencing is disabled", () =>
        withEngine({ isFencing: false }, async ({ engine, adapter }) => {
            await adapter.execute(createOrder(5n, "2"));
            expect(await adapter.execute(createOrder(4n, "1"))).to.deep.equal({ kind: "done" });
            expect(engine.getVersion()).to.equal("1");
        }));

    it("restarts with its initial version", () =>
        withEngine({}, async ({ engine, adapter }) => {
            await adapter.execute(createOrder(5n, "2"));
            await engine.crash();
            expect(engine.getVersion()).to.equal("1");
        }));

    it("crashes on an administration request", () =>
        withEngine({}, async ({ engine, adapter }) => {
            const before = engine.getIncarnation();
            const response = await request(`${engine.address}/administration/crash`, { method: "POST" });
            expect(response.statusCode).to.equal(202);
            await response.body.dump();
            while (engine.getIncarnation() === before) {
                await new Promise(resolve => setImmediate(resolve));
            }
            expect(await adapter.getLoad()).to.include({ incarnation: engine.getIncarnation() });
        }));

    it("returns a response without streaming", () =>
        withEngine({}, async ({ engine }) => {
            const body = JSON.stringify({ messages: [{ role: "user", content: "hello" }], max_tokens: 4 });
            const response = await request(`${engine.address}/v1/chat/completions`, { method: "POST", body });
            const completion = await response.body.json() as { choices: { message: { content: string; }; }[]; };
            expect(completion.choices[0]!.message.content.trim().split(" ")).to.have.lengthOf.within(2, 4);
        }));

    it("loads weights more slowly when more than two engines load concurrently", async () => {
        const clock = createAutoAdvancingClock();
        const store = await startWeightStoreStandIn({ clock });
        const weightSource = createWeightStoreSource(store.address);
        const times: number[] = [];
        const engines = await Promise.all([1, 2, 3, 4].map(() => startEngineStandIn({ clock, weightSource })));
        for (const count of [2, 4]) {
            const start = clock.getMonotonicMilliseconds();
            await Promise.all(
                engines.slice(0, count).map(async (engine, index) => {
                    const adapter = createEngineAdapter({ address: engine.address });
                    await adapter.execute(createOrder(BigInt(count * 10 + index), `${count}`));
                    await adapter.stop();
                }),
            );
            times.push(clock.getMonotonicMilliseconds() - start);
        }
        expect(times[0]).to.be.at.least(800);
        expect(times[1]).to.be.above(times[0]!);
        expect(store.getMaximumConcurrentFetches()).to.be.within(2, 4);
        await Promise.all([...engines, store].map(standIn => standIn.stop()));
    });
});
