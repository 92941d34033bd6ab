import { expect } from "chai";
import { CallerServer } from "../../../platform/callers";
import { CallerReply } from "../../../src/forwarding";
import { createMetrics } from "../../../src/metrics";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

describe("startCallerServer, to callers that send a request before the last response has ended", () => {
    let callerServer: CallerServer;
    let replies: Map<string, CallerReply>;
    let isStopping: boolean;
    let signals: AbortSignal[];
    let getUnanswered: () => Readonly<Record<string, number>>;
    beforeEach(async () => {
        replies = new Map();
        isStopping = false;
        signals = [];
        const metrics = createMetrics();
        ({ getUnanswered } = metrics);
        callerServer = await startTestCallerServer(({ requestId, signal }, reply) => {
            replies.set(requestId, reply);
            signals.push(signal);
        }, { plannedStop: { hasBegun: () => isStopping, signal: new AbortController().signal }, metrics });
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    /** Sends requests on one connection, and waits until the forwarder has them. */
    async function sendRequests(ids: readonly string[]) {
        const caller = openRawCaller(callerServer);
        ids.forEach(id => caller.request(id));
        while (replies.size < ids.length) {
            await new Promise(resolve => setImmediate(resolve));
        }
        return caller;
    }

    async function waitUntilHeld(id: string, caller: ReturnType<typeof openRawCaller>): Promise<void> {
        while (!replies.has(id) && !caller.hasEnded()) {
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(caller.hasEnded()).to.equal(false);
    }

    function sendResponse(id: string): void {
        replies.get(id)!.send({ status: 200, headers: ["X-Id", id] }, Buffer.from("ok"));
    }

    async function doTest(order: readonly string[], stopAfter: number): Promise<void> {
        const caller = await sendRequests(["1", "2", "3"]);
        order.forEach((id, index) => {
            isStopping ||= index === stopAfter;
            sendResponse(id);
        });
        await caller.waitForStatuses(4, 500);
        const text = caller.getText();
        expect([...text.matchAll(/X-Id: (\d)/g)].map(match => match[1])).to.deep.equal(["1", "2", "3"]);
        expect(caller.hasEnded()).to.equal(stopAfter < 3);
    }

    it("answers each in order", () => doTest(["1", "2", "3"], 3));
    it("answers each in order, whichever ends first", () => doTest(["3", "1", "2"], 3));
    it("answers each before it closes the connection in a planned stop", () => doTest(["1", "2", "3"], 0));
    it("answers each before it closes the connection in a planned stop, whichever ends first", () =>
        doTest(["3", "2", "1"], 0));
    it("answers each before it closes the connection in a planned stop that begins between the responses", () =>
        doTest(["1", "2", "3"], 1));

    it("answers a request that follows a response which began before the planned stop", async () => {
        const caller = await sendRequests(["1", "2"]);
        replies.get("1")!.start({ status: 200, headers: [] });
        await replies.get("1")!.write(Buffer.from("part"));
        isStopping = true;
        replies.get("1")!.end();
        await new Promise(resolve => setTimeout(resolve, 50));
        sendResponse("2");
        expect(await caller.waitForStatuses(2, 500)).to.deep.equal([200, 200]);
    });

    // The connection was closed with the request in it, or after it was read.
    it("answers a request that arrives at the end of a response which began before the planned stop", async () => {
        const caller = await sendRequests(["1"]);
        replies.get("1")!.start({ status: 200, headers: [] });
        await replies.get("1")!.write(Buffer.from("part"));
        isStopping = true;
        replies.get("1")!.end();
        caller.request("2");
        await waitUntilHeld("2", caller);
        sendResponse("2");
        expect(await caller.waitForStatuses(2)).to.deep.equal([200, 200]);
        await caller.waitForStatuses(3);
        expect([caller.hasEnded(), getUnanswered()]).to.deep.equal([true, {}]);
    });

    it("reads the rest of a head that arrives in part at the end of a response which began before the planned stop", async () => {
        const caller = await sendRequests(["1"]);
        replies.get("1")!.start({ status: 200, headers: [] });
        await replies.get("1")!.write(Buffer.from("part"));
        isStopping = true;
        replies.get("1")!.end();
        caller.socket.write("GET /reads/2 HTTP/1.1\r\nHost: one.example\r\n");
        while (!caller.getText().endsWith("\r\n0\r\n\r\n")) {
            await new Promise(resolve => setImmediate(resolve));
        }
        caller.socket.write("Basilwing-Request-Id: 2\r\n\r\n");
        await waitUntilHeld("2", caller);
        sendResponse("2");
        expect(await caller.waitForStatuses(2)).to.deep.equal([200, 200]);
    });

    it("has none of them in progress once the connection was reset", async () => {
        const caller = await sendRequests(["1", "2", "3"]);
        caller.socket.resetAndDestroy();
        const start = performance.now();
        while (callerServer.getOpenCount() > 0 && performance.now() - start < 1_000) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect([callerServer.getOpenCount(), ...signals.map(({ aborted }) => aborted)])
            .to.deep.equal([0, true, true, true]);
    });
});
