import { expect } from "chai";
import { AddressInfo, createConnection } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createBackendLink } from "../../../platform/backends";
import { CallerServer, startCallerServer } from "../../../platform/callers";
import { drainEntry } from "../../../platform/roles/drainEntry";
import { createPlannedStop } from "../../../src/forwarding";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createSystemClock } from "../../../src/runtime";
import { createTestDocument } from "../../documents/createTestDocument";
import { createTestFeedState, createTestInstance } from "../../feed/createTestFeed";
import { createTestForwarder } from "../../forwarding/createTestForwarder";
import { createManualClock } from "../../support/createManualClock";
import { RawServer, startRawServer } from "../startRawServer";

// Report of another operator: requests late in the grace were passed on, and cut at its end without an answer.
describe("a planned stop of an entry process", () => {
    /** The time until the process would be killed; it answers what is in progress 700 ms before. */
    const graceMilliseconds = 5_200;
    /** A time at which callers know of the stop. */
    const lateMilliseconds = 2_700;

    let backend: RawServer;
    let callerServer: CallerServer;
    let beginStop: () => Promise<void>;
    /** Ends the background tasks of the forwarder, which would keep the test process. */
    let ended: AbortController;
    const link = createBackendLink();

    beforeEach(async () => {
        backend = await startRawServer(() => undefined);
        ended = new AbortController();
        const clock = createSystemClock();
        const instances = [
            createTestInstance({ instanceId: "actions-1", service: "actions", address: backend.address, weights: [] }),
            createTestInstance({ instanceId: "engine-1", address: backend.address }),
        ];
        const routes = createTestDocument().routes.map(route => ({ ...route, timeoutMilliseconds: 60_000 }));
        const state = createTestFeedState(clock, instances, { routes });
        const plannedStop = createPlannedStop(clock);
        const testLink = { ...link, attempts: [], probes: [] } as never;
        const forwarder = createTestForwarder(state, testLink, clock as ReturnType<typeof createManualClock>, {
            plannedStop,
            maximumDocumentAgeMilliseconds: Infinity,
            signal: ended.signal,
        });
        callerServer = await startCallerServer({
            address: "127.0.0.1:0",
            forwarder,
            state,
            plannedStop,
            clock,
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        beginStop = () =>
            new Promise(exit =>
                void drainEntry({
                    callerServer,
                    plannedStop,
                    getRequestCount: () => callerServer.getOpenCount() + forwarder.getActiveCount(),
                    stopGraceMilliseconds: graceMilliseconds,
                    clock,
                    logger: createSilentLogger(),
                    exit,
                })
            );
    });
    afterEach(async () => {
        ended.abort();
        callerServer.server.closeAllConnections();
        callerServer.server.close();
        await backend.stop();
    });
    after(() => link.stop());

    /** Opens a connection and writes texts at given times; returns what is received until the connection ends. */
    async function exchange(writes: readonly { milliseconds: number; text: string; }[]): Promise<string> {
        const { port } = callerServer.server.address() as AddressInfo;
        const socket = createConnection(port, "127.0.0.1");
        let received = "";
        socket.on("data", data => received += data.toString("latin1"));
        socket.on("error", error => received += ` ${error.message}`);
        const closed = new Promise(resolve => socket.on("close", resolve));
        let elapsed = 0;
        for (const { milliseconds, text } of writes) {
            await sleep(milliseconds - elapsed);
            elapsed = milliseconds;
            socket.write(text);
        }
        await closed;
        return received;
    }

    function getHead(path: string, callerMilliseconds: number, length = 0): string {
        const prompt = path === "/summaries/1" ? "Basilwing-Model: large\r\nBasilwing-Prefix-Hash: a:1,b:1\r\n" : "";
        return `POST ${path} HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: request-1\r\n`
            + `Authorization: Bearer alpha-key\r\nBasilwing-Deadline-Ms: ${callerMilliseconds}\r\n${prompt}`
            + `Content-Length: ${length}\r\n\r\n`;
    }

    async function doTest(
        writes: readonly { milliseconds: number; text: string; }[],
        expectedStatuses: readonly number[],
        expectedCount: number,
    ) {
        // Keeps the process until the end of the grace.
        void exchange([{ milliseconds: 0, text: getHead("/reads/1", 60_000) }]);
        const response = exchange(writes);
        await sleep(50);
        await beginStop();
        const text = await response;
        const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
        const sent = backend.requests.filter(request =>
            /^POST \/[rs]/.test(request) && !request.startsWith("POST /reads/")
        );
        expect(status).to.be.oneOf([...expectedStatuses]);
        expect(sent.length).to.equal(expectedCount);
        expect(/^retry-after:/im.test(text)).to.equal(status === 503);
    }

    const unknown = [502, 504];
    const notRun = [503];
    const halfHead = "POST /releases/1 HTTP/1.1\r\n";

    it("answers a request that may not be repeated, and is in progress at the end, with an unknown outcome", () =>
        doTest([{ milliseconds: 0, text: getHead("/releases/1", 60_000) }], unknown, 1)).timeout(10_000);
    it("answers a stream that has not begun at the end with an unknown outcome", () =>
        doTest([{ milliseconds: 0, text: getHead("/summaries/1", 60_000) }], unknown, 1)).timeout(10_000);
    it("refuses a late request that would last beyond the end, and does not pass it on", () =>
        doTest(
            [
                { milliseconds: 0, text: halfHead },
                { milliseconds: lateMilliseconds, text: getHead("/releases/1", 60_000).slice(halfHead.length) },
            ],
            notRun,
            0,
        )).timeout(10_000);
    it("refuses a late stream that would last beyond the end, and does not pass it on", () =>
        doTest(
            [
                { milliseconds: 0, text: "POST /summaries/1 HTTP/1.1\r\n" },
                {
                    milliseconds: lateMilliseconds,
                    text: getHead("/summaries/1", 60_000).slice("POST /summaries/1 HTTP/1.1\r\n".length),
                },
            ],
            notRun,
            0,
        )).timeout(10_000);
    it("passes on a late request whose time limit lies before the end, and answers it then", () =>
        doTest(
            [
                { milliseconds: 0, text: halfHead },
                { milliseconds: lateMilliseconds, text: getHead("/releases/1", 300).slice(halfHead.length) },
            ],
            unknown,
            1,
        )).timeout(10_000);
    it("refuses a request whose body is still being read at the end", () =>
        doTest([{ milliseconds: 0, text: getHead("/releases/1", 60_000, 100) }], notRun, 0)).timeout(10_000);
});
