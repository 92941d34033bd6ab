import { expect } from "chai";
import { once } from "node:events";
import type { Socket } from "node:net";
import { createFleetListClient } from "../../platform/fleet";
import {
    createEngineAdapter,
    createKvCacheStoreClient,
    createPlatformListClient,
    createServiceAdapter,
    readLines,
} from "../../src/backends";
import { createSilentLogger } from "../../src/logging";
import { startRawServer } from "../platform/startRawServer";

describe("a client, with bodies without end", () => {
    const maximumReceivedBytes = 32 * 1_048_576;
    const signal = new AbortController().signal;
    const scope = { workspace: "alpha", model: "large", version: "1" };
    const completion = {
        requestId: "request-1",
        model: "large",
        version: "1",
        cacheSalt: "salt",
        body: {},
        isChat: false,
        priority: 0,
        seed: 1n,
        skipTokens: 0,
    };

    type Call = (address: string, timeSignal: AbortSignal) => Promise<unknown>;

    /**
     * Calls a server whose body has no end; returns whether the connection was closed, after how few bytes, and the result. Where
     * a call may read until its time is over, the bytes count from then on: those before show only how fast the machine is.
     */
    async function runTrial(call: Call, status: string, callMilliseconds: number | undefined) {
        let sentBytes = 0;
        let sentInTimeBytes = 0;
        const time = new AbortController();
        const chunk = Buffer.from(`10000\r\n${"x".repeat(0x10000)}\r\n`);
        let resolveClosed: () => void = () => undefined;
        const closed = new Promise<void>(resolve => resolveClosed = resolve);
        const server = await startRawServer(socket => {
            socket.on("close", resolveClosed);
            socket.write(`HTTP/1.1 ${status}\r\nX-Request-Id: request-1\r\nTransfer-Encoding: chunked\r\n\r\n`);
            void sendWithoutEnd(socket);
            if (callMilliseconds !== undefined) {
                setTimeout(endTime, callMilliseconds);
            }
        });
        const result = await call(server.address, time.signal);
        await closed;
        await server.stop();
        return { isBounded: sentBytes - sentInTimeBytes <= maximumReceivedBytes, result };

        function endTime(): void {
            sentInTimeBytes = sentBytes;
            time.abort();
        }

        async function sendWithoutEnd(socket: Socket): Promise<void> {
            while (!socket.destroyed) {
                sentBytes += chunk.length;
                if (!socket.write(chunk)) {
                    await Promise.race([once(socket, "drain"), closed]).catch(() => undefined);
                }
            }
        }
    }

    async function doTest(call: Call, expected: unknown, status = "200 OK", callMilliseconds?: number) {
        expect(await runTrial(call, status, callMilliseconds)).to.deep.equal({ isBounded: true, result: expected });
    }

    async function useEngine<T>(
        address: string,
        call: (engine: ReturnType<typeof createEngineAdapter>) => Promise<T>,
    ): Promise<T> {
        const engine = createEngineAdapter({ address: `http://${address}` });
        return call(engine).finally(() => engine.stop());
    }

    async function getLastEventKind(engine: ReturnType<typeof createEngineAdapter>): Promise<string | undefined> {
        let kind: string | undefined;
        for await (const event of engine.complete(completion, signal)) {
            kind = event.kind;
        }
        return kind;
    }

    it("gives the load of an engine up", () =>
        doTest(address => useEngine(address, engine => engine.getLoad()), undefined));
    it("gives a completion up", () => doTest(address => useEngine(address, getLastEventKind), "failed"));
    it("gives the message of a refused completion up", () =>
        doTest(address => useEngine(address, getLastEventKind), "failed", "503 Full"));
    it("gives the cache events of an engine up", () =>
        doTest(address =>
            useEngine(address, async engine => {
                for await (const event of engine.watchCacheEvents(0, signal)) {
                    expect.fail(`unexpected event ${JSON.stringify(event)}`);
                }
            }), undefined));
    it("gives the incarnation of a service up", () =>
        doTest(async address => {
            const service = createServiceAdapter({ address: `http://${address}` });
            return service.getIncarnation().finally(() => service.stop());
        }, undefined));
    it("gives the platform's list up", () =>
        doTest(async address => {
            const list = createPlatformListClient({ address: `http://${address}` });
            return list.getInstances(signal).finally(() => list.stop());
        }, undefined));
    it("gives the platform's list of backend servers up", () =>
        doTest(address => createFleetListClient(address, createSilentLogger()).getInstances(signal), undefined));
    it("takes an entry of a cache store for unreadable once its time is over", () =>
        doTest(
            async (address, timeSignal) => {
                const store = createKvCacheStoreClient({ address: `http://${address}` });
                return store.read(scope, "hash", timeSignal).finally(() => store.stop());
            },
            undefined,
            "200 OK",
            20,
        ));

    describe("readLines", () => {
        async function read(parts: readonly string[]): Promise<string[]> {
            const lines: string[] = [];
            for await (const line of readLines(toBody(parts))) {
                lines.push(line);
            }
            return lines;
        }

        async function* toBody(parts: readonly string[]): AsyncGenerator<Uint8Array> {
            for (const part of parts) {
                yield await Promise.resolve(Buffer.from(part, "latin1"));
            }
        }

        it("joins the parts of a line, also those of one character", async () =>
            expect(await read(["a\xc3", "\xa9", "b\r\n\nc"])).to.deep.equal(["aéb", "", "c"]));
        it("gives a line without end up, in parts of one byte, without reading it again with each part", async () => {
            let problem = "";
            await read(Array.from({ length: 1_100_000 }, () => "x")).catch(thrown => problem = String(thrown));
            expect(problem).to.match(/^Error: a line is longer/);
        });
    });
});
