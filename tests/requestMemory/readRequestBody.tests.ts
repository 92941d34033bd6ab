import { expect } from "chai";
import fc from "fast-check";
import { once } from "node:events";
import { createServer, Server } from "node:http";
import { AddressInfo, createConnection, Socket } from "node:net";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRequestMemory, readRequestBody, RequestMemory } from "../../src/requestMemory";
import { createSystemClock, pollConnections } from "../../src/runtime";
import { freeTurns } from "../support/freeTurns";

describe("readRequestBody", () => {
    const maximumBodyBytes = 1_048_576;

    let server: Server;
    let client: Socket;
    let memory: RequestMemory;
    beforeEach(createMemory);
    afterEach(() => {
        client.destroy();
        server.close();
    });

    function createMemory(): void {
        memory = createRequestMemory({
            getMaximumBytes: () => 4 * maximumBodyBytes,
            pollConnections,
            clock: createSystemClock(),
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
    }

    /** Sends a head and a chunk, and reads the body. */
    async function startReading(chunk: Buffer, getMaximumBytes: () => number) {
        server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        client = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
        client.write("PUT / HTTP/1.1\r\nHost: test.example\r\nTransfer-Encoding: chunked\r\n\r\n");
        client.write(encodeChunk(chunk));
        const [request] = await once(server, "request") as [Parameters<typeof readRequestBody>[0]["request"]];
        const outcome = readRequestBody({
            request,
            getMaximumBytes,
            memory,
            turns: freeTurns,
            signal: new AbortController().signal,
            endConnection: () => client.destroy(),
        });
        return { request, outcome };
    }

    /** Sends a body in chunks while another one holds all memory, and checks that it is read whole once that one has ended. */
    async function doTest(chunkSizes: readonly number[]): Promise<void> {
        createMemory();
        const other = memory.open({ grant: () => undefined, refuse: () => undefined });
        other.reserve(3 * maximumBodyBytes);
        const chunks = chunkSizes.map((size, index) => Buffer.alloc(size, index + 1));
        const { request, outcome } = await startReading(chunks[0]!, () => maximumBodyBytes);
        // The first chunk is read by itself.
        await waitUntil(() => memory.getBytes() > 3 * maximumBodyBytes);
        client.write(Buffer.concat([...chunks.slice(1).map(encodeChunk), Buffer.from("0\r\n\r\n")]));
        await waitUntil(() => memory.getWaitingCount() > 0 || request.complete);
        await pollConnections();
        other.close();
        const result = await outcome;
        client.destroy();
        server.close();
        expect(result.kind).to.equal("read");
        expect(result.kind === "read" && Buffer.concat(chunks).equals(result.body)).to.equal(true);
    }

    // An exception in a handler of the request would end the process.
    it("rejects where it fails, and keeps no memory", async () => {
        const { outcome } = await startReading(Buffer.alloc(100), () => {
            throw new Error("no limits");
        });
        const problem = await outcome.then(({ kind }) => kind, (thrown: Error) => thrown.message);
        expect([problem, memory.getBytes()]).to.deep.equal(["no limits", 0]);
    });

    // The buffer that was granted was once smaller than what one read of the connection had brought.
    it("reads chunks whole that arrive together while the body waits", () =>
        doTest([20_000, 20_000, 20_000, 20_000, 20_000]));
    it("reads chunks of any sizes whole that arrive while the body waits", () =>
        fc.assert(
            fc.asyncProperty(
                fc.array(fc.integer({ min: 1, max: 30_000 }), { minLength: 6, maxLength: 12 }),
                doTest,
            ),
            { seed: 6, numRuns: 100 },
        ));
});

async function waitUntil(isReached: () => boolean): Promise<void> {
    while (!isReached()) {
        await pollConnections();
    }
}

function encodeChunk(chunk: Buffer): Buffer {
    return Buffer.concat([Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from("\r\n")]);
}
