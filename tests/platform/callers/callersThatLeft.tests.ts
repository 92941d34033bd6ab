import { expect } from "chai";
import { AddressInfo } from "node:net";
import { setTimeout } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { CallerServer, startCallerServer } from "../../../platform/callers";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createSystemClock } from "../../../src/runtime";
import { createTestFeedState } from "../../feed/createTestFeed";

/** Opens connections, sends requests on them, and closes those of the callers that leave, while the server is blocked. */
const callersScript = `
    const { connect } = require("node:net");
    const { workerData: { port, leavingCount, stayingCount, isKept, flags } , parentPort } = require("node:worker_threads");
    const { once } = require("node:events");
    const getRequest = id => "GET /reads/1 HTTP/1.1\\r\\nhost: one.example\\r\\nbasilwing-request-id: " + id + "\\r\\n\\r\\n";
    const write = (socket, text) => new Promise(resolve => socket.write(text, resolve));

    async function open() {
        const socket = connect(port, "127.0.0.1");
        await once(socket, "connect");
        if (isKept) {
            socket.write(getRequest("earlier"));
            await once(socket, "data");
        }
        return socket;
    }

    async function run() {
        const opened = isKept ? await Promise.all(Array.from({ length: leavingCount + stayingCount }, open)) : [];
        parentPort.postMessage("ready");
        Atomics.wait(flags, 0, 0);
        for (let index = 0; index < leavingCount + stayingCount; index++) {
            const socket = opened[index] ?? await open();
            const isLeaving = index < leavingCount;
            await write(socket, getRequest((isLeaving ? "leaving-" : "staying-") + index));
            if (isLeaving) {
                socket.end();
                await once(socket, "finish");
            }
        }
        Atomics.store(flags, 1, 1);
        Atomics.notify(flags, 1);
    }
    void run();
`;

describe("startCallerServer, to callers that leave while the process is busy", () => {
    let callerServer: CallerServer | undefined;
    let worker: Worker | undefined;
    afterEach(async () => {
        await worker?.terminate();
        callerServer?.server.closeAllConnections();
        callerServer?.server.close();
    });

    async function doTest(counts: { leavingCount: number; stayingCount: number; }, isKept: boolean): Promise<void> {
        const startedIds: string[] = [];
        const clock = createSystemClock();
        callerServer = await startCallerServer({
            address: "127.0.0.1:0",
            forwarder: {
                forward: async ({ requestId, signal }, reply) => {
                    if (requestId !== "earlier" && !signal.aborted) {
                        startedIds.push(requestId);
                    }
                    reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
                    await Promise.resolve();
                },
                getActiveCount: () => 0,
                reportLoads: () => undefined,
            },
            state: createTestFeedState(clock, []),
            isStopping: () => false,
            clock,
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        const { port } = callerServer.server.address() as AddressInfo;
        const flags = new Int32Array(new SharedArrayBuffer(8));
        worker = new Worker(callersScript, { eval: true, workerData: { port, ...counts, isKept, flags } });
        await new Promise(resolve => worker!.once("message", resolve));
        Atomics.store(flags, 0, 1);
        Atomics.notify(flags, 0);
        Atomics.wait(flags, 1, 0);
        while (startedIds.filter(id => id.startsWith("staying")).length < counts.stayingCount) {
            await setTimeout(10);
        }
        expect(startedIds.filter(id => id.startsWith("leaving"))).to.deep.equal([]);
    }

    it("starts none of their requests that waited in connections that were not accepted yet", () =>
        doTest({ leavingCount: 60, stayingCount: 3 }, false));

    it("starts none of their requests that were sent on kept connections", () =>
        doTest({ leavingCount: 60, stayingCount: 3 }, true));
});
