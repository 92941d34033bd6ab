import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createConnection, type Socket } from "node:net";
import { CallerServer } from "../../../platform/callers";
import { CallerReply } from "../../../src/forwarding";
import { createMetrics, Metrics } from "../../../src/metrics";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

// Bytes that arrived on a closed connection reset it, and the caller lost what it had not received yet of its response.
describe("startCallerServer, where bytes arrive behind the last response of a connection", () => {
    /** More than a receiver that doesn't read takes. */
    const body = Buffer.alloc(3_000_000, "a");
    const lateRequest = "GET /reads/2 HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: 2\r\n\r\n";

    let callerServer: CallerServer;
    let metrics: Metrics;
    let replies: CallerReply[];
    let isStopping: boolean;
    let sockets: Socket[];
    beforeEach(async () => {
        replies = [];
        isStopping = false;
        sockets = [];
        metrics = createMetrics();
        callerServer = await startTestCallerServer((...[, reply]) => void replies.push(reply), {
            plannedStop: { hasBegun: () => isStopping, signal: new AbortController().signal },
            metrics,
        });
        callerServer.server.on("connection", socket => sockets.push(socket));
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

    /** Has a caller that doesn't read get a response that announces the end. */
    async function openSlowCaller(headers = "Connection: close\r\n") {
        const caller = openRawCaller(callerServer);
        caller.socket.pause();
        caller.request("1", headers);
        await waitUntil(() => replies.length === 1);
        replies[0]!.send({ status: 200, headers: [] }, body);
        await waitUntil(() => sockets[0]!.writableEnded);
        return caller;
    }

    async function doTest(lateBytes: string, headers?: string): Promise<void> {
        const caller = await openSlowCaller(headers);
        const { bytesRead } = sockets[0]!;
        caller.socket.write(lateBytes);
        await waitUntil(() => sockets[0]!.destroyed || sockets[0]!.bytesRead > bytesRead);
        caller.socket.resume();
        await waitUntil(caller.hasEnded);
        const text = caller.getText();
        expect(text.length - text.indexOf("\r\n\r\n") - 4).to.equal(body.length);
        await waitUntil(() => sockets[0]!.destroyed);
        expect([replies.length, metrics.getUnanswered()]).to.deep.equal([1, {}]);
    }

    it("the response arrives whole where the caller asked for the end", () => doTest(lateRequest));
    it("the response arrives whole in a planned stop", () => {
        isStopping = true;
        return doTest(lateRequest, "");
    });
    it("the response arrives whole before invalid bytes", () => doTest("\u0001\r\n\r\n"));

    it("the connection of a caller that doesn't close it is closed", async () => {
        await openSlowCaller();
        await waitUntil(() => sockets[0]!.destroyed);
    });

    it("the connection of a caller that sends without end is closed", async () => {
        const { port } = callerServer.server.address() as AddressInfo;
        const socket = createConnection({ port, host: "127.0.0.1", allowHalfOpen: true });
        socket.resume();
        // The reset is the end.
        socket.on("error", () => undefined);
        socket.write(lateRequest.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        await waitUntil(() => replies.length === 1);
        replies[0]!.send({ status: 200, headers: [] }, Buffer.alloc(20_000));
        await once(socket, "end");
        const timer = setInterval(() => socket.write(lateRequest), 5);
        await waitUntil(() => socket.destroyed);
        clearInterval(timer);
        expect(replies).to.have.length(1);
    });
});
