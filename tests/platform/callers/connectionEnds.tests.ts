import bunyan from "bunyan";
import { expect } from "chai";
import { Writable } from "node:stream";
import { CallerServer } from "../../../platform/callers";
import { RouteTable } from "../../../src/documents";
import { FeedState } from "../../../src/feed";
import { CallerReply } from "../../../src/forwarding";
import { createMetrics, Metrics } from "../../../src/metrics";
import { RefusalReason } from "../../../src/protocol";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

interface EndLine {
    msg: string;
    level: number;
    reason: string;
    openRequests: number;
    unansweredIds: readonly string[];
    rule?: string;
    idleMilliseconds?: number;
    statedMilliseconds?: number;
    currentMilliseconds?: number;
}

// A whole request that got no answer left no trace of why its connection was closed.
describe("startCallerServer, where a caller's connection ends", () => {
    const infoLevel = 30;
    const limits = { maximumBodyBytes: 1_000, headerTimeoutMilliseconds: 1_000, idleTimeoutMilliseconds: 20 };

    let callerServer: CallerServer;
    let metrics: Metrics;
    let lines: EndLine[];
    let replies: Map<string, CallerReply>;
    let isStopping: boolean;
    beforeEach(async () => {
        lines = [];
        replies = new Map();
        isStopping = false;
        metrics = createMetrics();
        const stream = new Writable({
            write: (chunk, ...[, callback]) => {
                const line = JSON.parse(String(chunk)) as EndLine;
                if (line.msg.startsWith("caller's connection end")) {
                    lines.push(line);
                }
                callback();
            },
        });
        callerServer = await startTestCallerServer(({ requestId }, reply) => void replies.set(requestId, reply), {
            logger: bunyan.createLogger({ name: "test", streams: [{ level: "debug", stream }] }),
            metrics,
            state: {
                getRouteTable: () => ({ document: { limits, routes: [] } }) as unknown as RouteTable,
            } as unknown as FeedState,
            plannedStop: { hasBegun: () => isStopping, signal: new AbortController().signal },
        });
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    async function waitUntil(isMet: () => boolean): Promise<void> {
        while (!isMet()) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }

    /** Sends requests on one connection, and waits until the forwarder has them. */
    async function sendRequests(ids: readonly string[]) {
        const caller = openRawCaller(callerServer);
        ids.forEach(id => caller.request(id));
        await waitUntil(() => replies.size === ids.length);
        return caller;
    }

    const ok = { status: 200, headers: [] };

    function sendResponse(id: string): void {
        replies.get(id)!.send(ok, Buffer.from("ok"));
    }

    /** Has a connection with requests end. */
    async function doTest(
        ids: readonly string[],
        end: (caller: ReturnType<typeof openRawCaller>) => void | Promise<void>,
        expected: { reason: string; unansweredIds?: readonly string[]; rule?: string; isOrdinary?: boolean; },
    ): Promise<EndLine> {
        const caller = await sendRequests(ids);
        await end(caller);
        await waitUntil(() => lines.length > 0);
        const { reason, unansweredIds = [], rule, isOrdinary = unansweredIds.length === 0 } = expected;
        const line = lines[0]!;
        expect([line.reason, line.unansweredIds, line.rule, line.level < infoLevel])
            .to.deep.equal([reason, unansweredIds, rule, isOrdinary]);
        const isCounted = unansweredIds.length > 0 && reason !== "callerLeft";
        expect(metrics.getUnanswered()).to.deep.equal(isCounted ? { [reason]: unansweredIds.length } : {});
        return line;
    }

    it("tells that the idle limit was over", async () => {
        callerServer.server.keepAliveTimeout = 1;
        const line = await doTest(["1"], () => sendResponse("1"), { reason: "idleLimit" });
        expect([line.statedMilliseconds, line.currentMilliseconds])
            .to.deep.equal([1, limits.idleTimeoutMilliseconds]);
        expect(line.idleMilliseconds).to.be.greaterThan(0);
    });

    it("tells that the process stops, and counts the requests that it leaves unanswered", () =>
        doTest(["1", "2"], () => {
            isStopping = true;
            callerServer.server.closeAllConnections();
        }, { reason: "plannedStop", unansweredIds: ["1", "2"] }));

    it("tells that the process stops after the last response", () =>
        doTest(["1"], () => {
            isStopping = true;
            sendResponse("1");
        }, { reason: "plannedStop" }));

    it("tells of a connection on which nothing arrived", () =>
        doTest([], async () => {
            const accepted = new Promise(resolve => callerServer.server.once("connection", resolve));
            await accepted;
            callerServer.closeUnusedConnections();
        }, { reason: "unused" }));

    it("tells of invalid bytes", () =>
        doTest([], ({ socket }) => void socket.write("\u0001\r\n\r\n"), { reason: "invalidBytes" }));

    it("tells of invalid bytes behind a request that is answered", () =>
        doTest(["1"], async ({ socket }) => {
            const failed = new Promise(resolve => callerServer.server.once("clientError", resolve));
            socket.write("\u0001\r\n\r\n");
            await failed;
            sendResponse("1");
        }, { reason: "invalidBytes" }));

    it("tells that the caller asked for the end", () =>
        doTest([], async caller => {
            caller.request("1", "Connection: close\r\n");
            await waitUntil(() => replies.has("1"));
            sendResponse("1");
        }, { reason: "announcedEnd" }));

    it("tells which rule broke a response off", () =>
        doTest(["1"], async () => {
            replies.get("1")!.start(ok);
            await replies.get("1")!.write(Buffer.from("part"));
            replies.get("1")!.abort("the engine broke off");
        }, { reason: "responseBrokenOff", rule: "the engine broke off", unansweredIds: ["1"] }));

    it("tells which refusal broke a response off, and which requests behind it got no answer", () =>
        doTest(["1", "2"], async () => {
            replies.get("1")!.start(ok);
            await replies.get("1")!.write(Buffer.from("part"));
            replies.get("1")!.refuse({ kind: "unknown", reason: RefusalReason.DEADLINE });
        }, { reason: "responseBrokenOff", rule: "DEADLINE", unansweredIds: ["1", "2"] }));

    it("doesn't count the requests of a caller that leaves", () =>
        doTest(["1"], ({ socket }) => void socket.resetAndDestroy(), {
            reason: "callerLeft",
            unansweredIds: ["1"],
            isOrdinary: true,
        }));

    it("doesn't count the requests of a caller that leaves during the last response of a planned stop", () =>
        doTest(["1"], async ({ socket }) => {
            isStopping = true;
            replies.get("1")!.start(ok);
            await replies.get("1")!.write(Buffer.from("part"));
            socket.destroy();
        }, { reason: "callerLeft", unansweredIds: ["1"], isOrdinary: true }));

    it("names each reason in the counter before it occurs", async () =>
        expect(await metrics.getText()).to.contain(`basilwing_unanswered_requests_total{reason="idleLimit"} 0`));
});
