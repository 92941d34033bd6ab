import { expect } from "chai";
import { createServer, Server, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import {
    createCacheSalt,
    createEngineAdapter,
    EngineAdapter,
    EngineEvent,
    EngineRequest,
    FailureCause,
} from "../../src/backends";
import { createPrefixChain } from "../../src/routing";
import { EngineStandIn, EngineStandInOptions, startEngineStandIn } from "../../src/standIns";
import { createAutoAdvancingClock } from "../standIns/createAutoAdvancingClock";

const scope = { workspace: "regie", model: "large", version: "1" };
const neverAborted = new AbortController().signal;

function createRequest(changes: Partial<EngineRequest> = {}): EngineRequest {
    return {
        requestId: "request-1",
        model: "large",
        version: "1",
        cacheSalt: createCacheSalt(scope),
        body: { prompt: "a".repeat(10_000), max_tokens: 8 },
        isChat: false,
        priority: 2,
        seed: 7n,
        skipTokens: 0,
        ...changes,
    };
}

async function collect(events: AsyncIterable<EngineEvent>): Promise<EngineEvent[]> {
    const collected: EngineEvent[] = [];
    for await (const event of events) {
        collected.push(event);
    }
    return collected;
}

function getText(events: readonly EngineEvent[]): string {
    return events.map(event => event.kind === "text" ? event.text : "").join("");
}

describe("createEngineAdapter", () => {
    let engine: EngineStandIn;
    let adapter: EngineAdapter & { stop(): Promise<void>; };

    async function start(options: EngineStandInOptions = {}): Promise<void> {
        engine = await startEngineStandIn({ clock: createAutoAdvancingClock(), ...options });
        adapter = createEngineAdapter({ address: engine.address });
    }

    afterEach(async () => {
        await adapter.stop();
        await engine.stop();
    });

    describe("complete", () => {
        it("streams a complete response with its usage", async () => {
            await start();
            const events = await collect(adapter.complete(createRequest(), neverAborted));
            expect(events[0]).to.deep.equal({
                kind: "started",
                incarnation: engine.getIncarnation(),
                version: "1",
            });
            const end = events.at(-1)!;
            expect(end).to.include({ kind: "end", promptTokens: 10_000, cachedTokens: 0 });
            expect(events.filter(event => event.kind === "text")).to.have.lengthOf.within(4, 8);
        });

        it("generates the same text for a repeated chat request and counts cached tokens", async () => {
            await start();
            const body = { messages: [{ role: "user", content: "b".repeat(9_000) }], max_tokens: 8 };
            const first = await collect(adapter.complete(createRequest({ body, isChat: true }), neverAborted));
            const second = await collect(adapter.complete(createRequest({ body, isChat: true }), neverAborted));
            expect(getText(second)).to.equal(getText(first));
            expect(second.at(-1)).to.include({ kind: "end", cachedTokens: 8_192 });
        });

        it("returns the remaining text if a part of it is skipped", async () => {
            await start();
            const whole = await collect(adapter.complete(createRequest(), neverAborted));
            const remaining = await collect(adapter.complete(createRequest({ skipTokens: 3 }), neverAborted));
            const skipped = whole.filter(event => event.kind === "text").slice(0, 3);
            expect(getText(skipped) + getText(remaining)).to.equal(getText(whole));
        });

        it("is refused if another version is requested", async () => {
            await start();
            const events = await collect(adapter.complete(createRequest({ version: "2" }), neverAborted));
            expect(events).to.have.lengthOf(1);
            expect(events[0]).to.include({ kind: "refused", status: 409 });
        });

        it("reports that nothing was sent if no connection could be opened", async () => {
            await start();
            await engine.stop();
            const events = await collect(adapter.complete(createRequest(), neverAborted));
            expect(events).to.have.lengthOf(1);
            expect(events[0]).to.include({ kind: "failed", hasSent: false, cause: FailureCause.Unreachable });
        });

        it("reports that the request may have been sent if the engine crashes", async () => {
            await start();
            const body = { prompt: "<<crash-engine>>" };
            const before = engine.getIncarnation();
            const events = await collect(adapter.complete(createRequest({ body }), neverAborted));
            expect(events.at(-1)).to.include({ kind: "failed", hasSent: true });
            expect(engine.getRunLog()[0]!.outcome).to.equal("crashed");
            await waitFor(() => engine.getIncarnation() !== before);
            expect(engine.getCachedHashes()).to.deep.equal([]);
        });

        it("detects a truncated response", async () => {
            await start({ faults: { truncatedShare: 1 } });
            const events = await collect(adapter.complete(createRequest(), neverAborted));
            expect(events.at(-1)).to.include({ kind: "failed", hasSent: true, cause: FailureCause.Truncated });
        });

        it("detects a response with another request's id and returns none of its text", async () => {
            await start({ faults: { crossedShare: 1 } });
            const events = await collect(adapter.complete(createRequest(), neverAborted));
            expect(events).to.have.lengthOf(1);
            expect(events[0]).to.include({ kind: "failed", cause: FailureCause.RequestIdMismatch });
        });

        it("waits for a late response", async () => {
            await start({ faults: { lateShare: 1, lateMilliseconds: 60_000 } });
            const events = await collect(adapter.complete(createRequest(), neverAborted));
            expect(events.at(-1)).to.include({ kind: "end" });
        });

        it("cancels the run when the signal aborts", async () => {
            await start();
            const controller = new AbortController();
            const body = { prompt: "a", max_tokens: 1_000_000 };
            const events: EngineEvent[] = [];
            for await (const event of adapter.complete(createRequest({ body }), controller.signal)) {
                events.push(event);
                controller.abort();
            }
            expect(events.at(-1)).to.include({ kind: "failed", cause: FailureCause.Cancelled });
            await waitFor(() => engine.getRunLog()[0]!.outcome === "cancelled");
        });
    });

    describe("watchCacheEvents", () => {
        it("returns events with the hashes of prefix chains, and a gap where an event was dropped", async () => {
            await start();
            const controller = new AbortController();
            const prompt = "c".repeat(8_192);
            await collect(adapter.complete(createRequest({ body: { prompt } }), neverAborted));
            engine.setCacheEventLoss(1);
            await collect(adapter.complete(createRequest({ body: { prompt: "d".repeat(4_096) } }), neverAborted));
            engine.setCacheEventLoss(0);
            await collect(adapter.complete(createRequest({ body: { prompt: "e".repeat(4_096) } }), neverAborted));
            const events = [];
            for await (const event of adapter.watchCacheEvents(2, controller.signal)) {
                events.push(event);
                if (event.number === 4) {
                    controller.abort();
                }
            }
            expect(events.map(event => event.number)).to.deep.equal([2, 4]);
            expect(events[0]!.hashes).to.deep.equal([createPrefixChain(prompt, scope, 4_096).hashes[1]]);
        });
    });

    describe("exportCache and importCache", () => {
        it("transfer a prefix between engines", async () => {
            await start();
            const prompt = "f".repeat(8_192);
            const hashes = createPrefixChain(prompt, scope, 4_096).hashes;
            await collect(adapter.complete(createRequest({ body: { prompt } }), neverAborted));
            const data = await adapter.exportCache(hashes[1]!);
            await engine.crash();
            expect(await adapter.exportCache(hashes[1]!)).to.equal(undefined);
            expect(await adapter.importCache(hashes.slice(0, 1), data!)).to.equal(false);
            expect(await adapter.importCache(hashes, data!)).to.equal(true);
            expect(engine.getCachedHashes()).to.have.members([...hashes]);
        });
    });

    describe("getLoad", () => {
        it("returns the engine's report, and undefined if the engine does not respond", async () => {
            await start();
            expect(await adapter.getLoad()).to.include({ version: "1", running: 0, role: "both" });
            await engine.stop();
            expect(await adapter.getLoad()).to.equal(undefined);
        });
    });
});

describe("createEngineAdapter, against a server that closes connections", () => {
    async function doTest(respond: (response: ServerResponse) => void, expected: object): Promise<void> {
        const server: Server = createServer((request, response) => {
            response.setHeader("x-request-id", String(request.headers["x-request-id"]));
            respond(response);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const adapter = createEngineAdapter({ address: `http://127.0.0.1:${(server.address() as AddressInfo).port}` });
        const events = await collect(adapter.complete(createRequest(), neverAborted));
        expect(events.at(-1)).to.include(expected);
        await adapter.stop();
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    }

    it("fails if the connection is lost before the headers", () =>
        doTest(response => response.destroy(), { kind: "failed", hasSent: true, cause: FailureCause.ConnectionLost }));

    it("fails if a chunk can't be parsed", () =>
        doTest(response => response.end("data: {\n\n"), { kind: "failed", cause: FailureCause.Malformed }));

    it("fails if the end marker arrives without usage", () =>
        doTest(response => response.end("data: [DONE]\n\n"), { kind: "failed", cause: FailureCause.Malformed }));

    it("fails if the stream ends without its end marker", () =>
        doTest(response => response.end(": idle\n\n"), { kind: "failed", cause: FailureCause.Truncated }));
});

/** Waits until a condition holds. */
async function waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
