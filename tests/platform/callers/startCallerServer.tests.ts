import { expect } from "chai";
import { once } from "node:events";
import { AddressInfo, connect, Socket } from "node:net";
import { request } from "undici";
import { CallerServer, startCallerServer } from "../../../platform/callers";
import { CallerReply, ForwardedRequest } from "../../../src/forwarding";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { RefusalReason } from "../../../src/protocol";
import { createSystemClock, getReadGate, ReadPause } from "../../../src/runtime";
import { createTestFeedState } from "../../feed/createTestFeed";

describe("startCallerServer", () => {
    let callerServer: CallerServer | undefined;
    afterEach(() => {
        callerServer?.server.closeAllConnections();
        callerServer?.server.close();
    });

    async function start(
        forward: (forwarded: ForwardedRequest, reply: CallerReply) => void | Promise<void>,
        isStopping: boolean | (() => boolean) = false,
        stopSignal = new AbortController().signal,
    ): Promise<string> {
        const clock = createSystemClock();
        callerServer = await startCallerServer({
            address: "127.0.0.1:0",
            forwarder: {
                forward: async (forwarded, reply) => forward(forwarded, reply),
                getActiveCount: () => 0,
                reportLoads: () => undefined,
            },
            state: createTestFeedState(clock, []),
            plannedStop: {
                hasBegun: typeof isStopping === "boolean" ? () => isStopping : isStopping,
                signal: stopSignal,
            },
            clock,
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        return `127.0.0.1:${(callerServer.server.address() as AddressInfo).port}`;
    }

    const headers = { "basilwing-request-id": "request-1" };

    it("passes a request to the forwarder with its whole body", async () => {
        let received: ForwardedRequest | undefined;
        const address = await start((forwarded, reply) => {
            received = forwarded;
            reply.send(
                { status: 201, headers: ["X-Own", "1"] },
                Buffer.from("ok"),
            );
        });
        const response = await request(`http://${address}/reads/1`, { method: "POST", headers, body: "body" });
        expect([response.statusCode, response.headers["x-own"], await response.body.text()])
            .to.deep.equal([201, "1", "ok"]);
        expect([received?.requestId, Buffer.from(received?.body ?? []).toString()]).to.deep.equal([
            "request-1",
            "body",
        ]);
    });

    it("sends a stream that another backend server continues whole, not as long as the first one named", async () => {
        const address = await start(async (...[, reply]) => {
            reply.start({ status: 200, headers: ["Content-Length", "5"] });
            await reply.write(Buffer.from("first"));
            await reply.write(Buffer.from("second"));
            reply.end();
        });
        const response = await request(`http://${address}/reads/1`, { headers });
        expect(await response.body.text()).to.equal("firstsecond");
    });

    describe("to an HTTP/1.0 caller, for whom a response ends with its connection", () => {
        async function doTest(respond: (reply: CallerReply) => void | Promise<void>, expected: string): Promise<void> {
            const address = await start((...[, reply]) => respond(reply));
            const [host, port] = address.split(":") as [string, string];
            const socket = connect(Number(port), host);
            socket.resume();
            socket.write("GET / HTTP/1.0\r\nhost: one.example\r\nbasilwing-request-id: 1\r\n\r\n");
            const end = await once(socket, "end").then(() => "end", (error: NodeJS.ErrnoException) => error.code);
            socket.destroy();
            expect(end).to.equal(expected);
        }

        it("resets a stream that is broken off, which would look complete otherwise", () =>
            doTest(async reply => {
                reply.start({ status: 200, headers: [] });
                await reply.write(Buffer.from("first event"));
                reply.abort();
            }, "ECONNRESET"));

        it("closes after a complete stream", () =>
            doTest(async reply => {
                reply.start({ status: 200, headers: [] });
                await reply.write(Buffer.from("first event"));
                reply.end();
            }, "end"));
    });

    it("answers what it reads after a response that began before a planned stop and ended during it, and closes", async () => {
        let isStopping = false;
        const replies: CallerReply[] = [];
        const address = await start((...[, reply]) => {
            replies.push(reply);
            if (replies.length > 1) {
                reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
            }
        }, () => isStopping);
        const [host, port] = address.split(":") as [string, string];
        const socket = connect(Number(port), host);
        const closed = once(socket, "close");
        let text = "";
        socket.on("data", chunk => {
            text += chunk.toString();
            if (text.includes("end of the first")) {
                socket.write(requestText);
            }
        });
        const requestText = "GET / HTTP/1.1\r\nhost: one.example\r\nbasilwing-request-id: 1\r\n\r\n";
        const requested = once(callerServer!.server, "request");
        socket.write(requestText);
        await requested;
        await waitUntil(() => replies.length === 1);
        replies[0]!.start({ status: 200, headers: [] });
        await replies[0]!.write(Buffer.from("start of the first"));
        await waitUntil(() => text.includes("start of the first"));
        isStopping = true;
        await replies[0]!.write(Buffer.from("end of the first"));
        replies[0]!.end();
        await closed;
        expect([...text.matchAll(/HTTP\/1\.1 200 /g)]).to.have.length(replies.length);
    });

    it("closes the connections on which nothing has arrived, and no others", async () => {
        const address = await start((...[, reply]) => reply.send({ status: 200, headers: [] }, Buffer.from("ok")));
        const [host, port] = address.split(":") as [string, string];
        const unused = connect(Number(port), host);
        const started = connect(Number(port), host);
        const sockets: Socket[] = [];
        callerServer!.server.on("connection", socket => sockets.push(socket));
        started.write("GET / HTTP/1.1\r\nhost: one.example\r\n");
        await waitUntil(() => sockets.length === 2 && sockets.some(socket => socket.bytesRead > 0));
        const closed = once(unused, "close");
        callerServer!.closeUnusedConnections();
        await closed;
        started.write("basilwing-request-id: 1\r\n\r\n");
        const [chunk] = await once(started, "data") as [Buffer];
        expect(chunk.toString()).to.include("200 OK");
        started.destroy();
    });

    // A planned stop once closed connections whose first request had arrived, but waited for its turn.
    it("closes no connection that waits for its turn, and answers its request", async () => {
        const address = await start((...[, reply]) => reply.send({ status: 200, headers: [] }, Buffer.from("ok")));
        const [host, port] = address.split(":") as [string, string];
        const accepted = once(callerServer!.server, "connection") as Promise<[Socket]>;
        callerServer!.server.on("connection", (socket: Socket) => getReadGate(socket).pause(ReadPause.Turn));
        const caller = connect(Number(port), host);
        caller.write("GET / HTTP/1.1\r\nhost: one.example\r\nbasilwing-request-id: 1\r\n\r\n");
        const [socket] = await accepted;
        callerServer!.closeUnusedConnections();
        getReadGate(socket).resume(ReadPause.Turn);
        const [chunk] = await once(caller, "data") as [Buffer];
        expect(chunk.toString()).to.include("200 OK");
        caller.destroy();
    });

    async function waitUntil(isMet: () => boolean): Promise<void> {
        while (!isMet()) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    describe("a refusal", () => {
        function doTest(refusal: Parameters<CallerReply["refuse"]>[0], status: number, retryAfter: string | undefined) {
            return async () => {
                const address = await start((...[, reply]) => reply.refuse(refusal));
                const response = await request(`http://${address}/`, { headers });
                await response.body.dump();
                expect([response.statusCode, response.headers["retry-after"]]).to.deep.equal([status, retryAfter]);
            };
        }

        it(
            "has status 503 and a retry time if the request has not run",
            doTest(
                { kind: "notRun", reason: RefusalReason.OVERLOADED, retryAfterMilliseconds: 250 },
                503,
                "0.250",
            ),
        );
        it(
            "has status 429 and the time of the refill beyond a quota",
            doTest(
                { kind: "notRun", reason: RefusalReason.QUOTA_EXCEEDED, retryAfterMilliseconds: 412.6 },
                429,
                "0.413",
            ),
        );
        it(
            "has status 502 and no retry time if the request may have run",
            doTest(
                { kind: "unknown", reason: RefusalReason.OUTCOME_UNKNOWN },
                502,
                undefined,
            ),
        );
        it(
            "has status 504 after a deadline",
            doTest({ kind: "unknown", reason: RefusalReason.DEADLINE }, 504, undefined),
        );
        it(
            "has status 401 for an unknown key",
            doTest({ kind: "denied", reason: RefusalReason.INVALID_KEY }, 401, undefined),
        );
        it(
            "has status 404 for an unknown path",
            doTest({ kind: "denied", reason: RefusalReason.NOT_FOUND }, 404, undefined),
        );
    });

    it("does not let an aborted response appear complete", async () => {
        const address = await start(async (...[, reply]) => {
            reply.start({ status: 200, headers: [] });
            await reply.write(Buffer.from("part"));
            reply.abort();
        });
        const outcome = await request(`http://${address}/`, { headers })
            .then(response => response.body.text()).catch(() => "incomplete");
        expect(outcome).to.equal("incomplete");
    });

    it("aborts the request's signal when the caller disconnects", async () => {
        const aborted = new Promise<void>(resolve => {
            void start(forwarded => forwarded.signal.addEventListener("abort", () => resolve())).then(address => {
                const [host, port] = address.split(":") as [string, string];
                const socket = connect(Number(port), host);
                socket.write("GET / HTTP/1.1\r\nHost: x\r\nBasilwing-Request-Id: request-1\r\n\r\n");
                setTimeout(() => socket.destroy(), 20);
            });
        });
        await aborted;
    });

    it("rejects a request with ambiguous framing", async () => {
        let forwardedCount = 0;
        const address = await start(() => {
            forwardedCount += 1;
        });
        const [host, port] = address.split(":") as [string, string];
        const socket = connect(Number(port), host);
        socket.write(
            "POST / HTTP/1.1\r\nHost: x\r\nBasilwing-Request-Id: request-1\r\nContent-Length: 4\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /reads/2 HTTP/1.1\r\nHost: x\r\n\r\n",
        );
        socket.resume();
        await once(socket, "close");
        expect(forwardedCount).to.equal(0);
    });

    it("closes connections while the process is shutting down", async () => {
        const address = await start(
            (...[, reply]) => reply.refuse({ kind: "denied", reason: RefusalReason.NOT_FOUND }),
            true,
        );
        const response = await request(`http://${address}/`, { headers });
        await response.body.dump();
        expect(response.headers.connection).to.equal("close");
    });
});
