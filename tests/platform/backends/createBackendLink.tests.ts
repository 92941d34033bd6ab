import { expect } from "chai";
import type { Socket } from "node:net";
import { createBackendLink } from "../../../platform/backends";
import { AttemptResult } from "../../../src/forwarding";
import { createTestInstance } from "../../feed/createTestFeed";
import { createTestRequest } from "../../forwarding/createTestRequest";
import { RawServer, startRawServer } from "../startRawServer";

describe("createBackendLink", () => {
    let servers: RawServer[] = [];
    let link = createBackendLink();

    beforeEach(() => link = createBackendLink());
    afterEach(async () => {
        await link.stop();
        await Promise.all(servers.map(server => server.stop()));
        servers = [];
    });

    async function startServer(respond: (socket: Socket, request: string) => void): Promise<RawServer> {
        const server = await startRawServer(respond);
        servers.push(server);
        return server;
    }

    function send(
        address: string,
        requestId = "request-1",
        signal = new AbortController().signal,
        furtherHeaders: readonly string[] = [],
    ) {
        return link.send({
            request: createTestRequest({
                requestId,
                headers: ["Host", "one.example", "Basilwing-Request-Id", requestId, ...furtherHeaders],
            }),
            instance: createTestInstance({ address }),
            maximumConnections: 1,
            workspace: "alpha",
            remainingMilliseconds: 1_000,
            priority: 0,
            cache: { kind: "private", salt: "salt" },
            lastEventId: undefined,
            signal,
            goneSignal: new AbortController().signal,
            onActivity: () => undefined,
        });
    }

    /** Reads a response's body to its end; returns whether it is complete, and the text. */
    async function read(result: AttemptResult): Promise<string> {
        if (result.kind !== "answered") {
            return result.kind;
        }
        let text = "";
        for await (const chunk of result.body) {
            text += Buffer.from(chunk).toString();
        }
        return `${result.isComplete() ? "complete" : "incomplete"} ${text}`;
    }

    const head = "HTTP/1.1 200 OK\r\nBasilwing-Request-Id: request-1\r\nBasilwing-Response-Seal: seal\r\n";

    it("does not send a request to an address that is none", async () => {
        expect((await send("10.0.0.1:70000")).kind).to.equal("notSent");
    });

    describe("a request that can't be sent to any server", () => {
        async function doTest(headers: readonly string[]) {
            const server = await startServer(() => undefined);
            const result = await send(server.address, "request-1", undefined, headers);
            expect(result).to.include({ kind: "notSent", isServerSound: true });
            expect(server.requests).to.deep.equal([]);
        }

        it("is no failure of the server (a second host)", () => doTest(["host", "one.example"]));
        it("is no failure of the server (characters beyond Latin-1)", () => doTest(["X-Name", "\u4e2d"]));
        it("is no failure of the server (an expectation)", () => doTest(["Expect", "more"]));
    });

    describe("a response", () => {
        async function doTest(text: string, end: "keep" | "finish" | "reset", expected: string) {
            const server = await startServer(socket => {
                socket.write(text, () => {
                    // The bytes must have arrived before a reset, which discards data in transit.
                    setTimeout(() => endConnection(socket, end), 20);
                });
            });
            expect(await read(await send(server.address))).to.equal(expected);
        }

        function endConnection(socket: Socket, end: "keep" | "finish" | "reset") {
            if (end === "finish") {
                socket.end();
            }
            if (end === "reset") {
                socket.resetAndDestroy();
            }
        }

        it("with its full content length is complete", () =>
            doTest(`${head}Content-Length: 4\r\n\r\nabcd`, "keep", "complete abcd"));
        it("with less than its content length is incomplete", () =>
            doTest(`${head}Content-Length: 9\r\n\r\nabcd`, "finish", "incomplete abcd"));
        it("with less than its content length is incomplete, on a closing connection", () =>
            doTest(`${head}Connection: close\r\nContent-Length: 9\r\n\r\nabcd`, "finish", "incomplete abcd"));
        it("with less than its content length is incomplete, on a closing connection that is reset", () =>
            doTest(`${head}Connection: close\r\nContent-Length: 9\r\n\r\nabcd`, "reset", "incomplete abcd"));
        it("in chunks with the last chunk is complete", () =>
            doTest(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n`, "keep", "complete abcd"));
        it("in chunks without the last chunk is incomplete", () =>
            doTest(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n`, "finish", "incomplete abcd"));
        it("in chunks without the last chunk is incomplete, on a closing connection", () =>
            doTest(
                `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n`,
                "finish",
                "incomplete abcd",
            ));
        it("in chunks without the last chunk is incomplete, on a closing connection that is reset", () =>
            doTest(
                `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n`,
                "reset",
                "incomplete abcd",
            ));
        it("without a content length is complete when its connection ends", () =>
            doTest(`${head}\r\nabcd`, "finish", "complete abcd"));
        it("without a content length is incomplete if the connection is reset", () =>
            doTest(`${head}\r\nabcd`, "reset", "incomplete abcd"));
        it("without a content length is incomplete if data and reset arrive together", async () => {
            const server = await startServer(socket => {
                socket.write(`${head}\r\nabcd`);
                setImmediate(() => {
                    socket.resetAndDestroy();
                    blockEventLoop(50);
                });
            });
            expect(await read(await send(server.address))).to.equal("incomplete abcd");
        });
        it("that is not HTTP is lost", () => doTest("garbage\r\n\r\n", "keep", "lost"));
        it("without a seal is lost", () =>
            doTest(
                "HTTP/1.1 200 OK\r\nBasilwing-Request-Id: request-1\r\nContent-Length: 0\r\n\r\n",
                "keep",
                "lost",
            ));
        it("to another request is lost", () =>
            doTest(`${head.replace("request-1", "request-0")}Content-Length: 0\r\n\r\n`, "keep", "lost"));
    });

    describe("a response with a status that no final response has", () => {
        async function doTest(status: string) {
            const server = await startServer(socket =>
                void socket.write(`${head.replace("200", status)}Content-Length: 4\r\n\r\nabcd`)
            );
            expect(await send(server.address)).to.deep.equal({
                kind: "lost",
                reason: `status ${Number(status)} is not a status of a final response`,
            });
        }

        ["000", "099", "600", "999"].forEach(status => {
            it(`is lost by the link's own decision, not by an assertion of the HTTP client (${status})`, () =>
                doTest(status));
        });
    });

    it("ignores a second response that follows the first on the same connection", async () => {
        const server = await startServer((socket, request) => {
            const [, requestId = ""] = /Request-Id: (\S+)/i.exec(request) ?? [];
            const response = `${head.replace("request-1", requestId)}Content-Length: 4\r\n\r\n${requestId.slice(-4)}`;
            socket.write(response + response);
        });
        expect(await read(await send(server.address))).to.equal("complete st-1");
        expect(await read(await send(server.address, "request-2"))).to.equal("complete st-2");
        expect(server.getConnectionCount()).to.equal(2);
    });

    it("does not report a request as not run after an earlier refusal that arrives again on a kept connection", async () => {
        let requestCount = 0;
        const refusal = "HTTP/1.1 503 Full\r\nBasilwing-Request-Id: request-1\r\nBasilwing-Not-Executed: 1\r\n"
            + "Content-Length: 0\r\n\r\n";
        const server = await startServer(socket => {
            requestCount += 1;
            socket.write(requestCount === 1 ? refusal : refusal.replace("Basilwing-Request-Id: request-1\r\n", ""));
        });
        expect((await send(server.address)).kind).to.equal("notRun");
        expect((await send(server.address, "request-2")).kind).to.equal("lost");
        expect(server.getConnectionCount()).to.equal(1);
    });

    describe("a refusal that arrives again when its request is sent to the instance that has replaced the first one", () => {
        async function doTest(status: string) {
            const refusal = `HTTP/1.1 ${status}\r\nBasilwing-Request-Id: request-1\r\nBasilwing-Not-Executed: 1\r\n`
                + "Content-Length: 0\r\n\r\n";
            let runCount = 0;
            const answered = new Set<Socket>();
            const server = await startServer(socket => {
                if (server.requests.length === 1) {
                    answered.add(socket);
                    socket.write(refusal);
                    return;
                }
                runCount += 1;
                socket.write(`${answered.has(socket) ? refusal : ""}${head}Content-Length: 4\r\n\r\nabcd`);
            });
            const first = await send(server.address);
            const second = await read(await send(server.address));
            expect({ first: first.kind, second, runCount })
                .to.deep.equal({ first: "notRun", second: "complete abcd", runCount: 1 });
        }

        it("is not taken for the second answer (421)", () => doTest("421 Misdirected Request"));
        it("is not taken for the second answer (429)", () => doTest("429 Too Many Requests"));
        it("is not taken for the second answer (503)", () => doTest("503 Service Unavailable"));
    });

    it("reports that a request was not sent if the connection is refused", async () => {
        const server = await startServer(() => undefined);
        await server.stop();
        servers = [];
        expect(await send(server.address)).to.include({ kind: "notSent", isServerSound: false });
    });

    it("reports a request at once as not sent and never sends it if the caller leaves while connecting", async () => {
        const disconnectController = new AbortController();
        const server = await startServer(() => undefined);
        const firstAnswer = send(server.address, "request-1", disconnectController.signal);
        disconnectController.abort();
        expect((await firstAnswer).kind).to.equal("notSent");
        const secondAnswer = await send(server.address, "request-2", AbortSignal.timeout(200));
        expect(secondAnswer.kind).to.not.equal("answered");
        expect(server.requests.every(request => !request.includes("request-1"))).to.equal(true);
    });

    it("reports a request as lost if its connection ends without a response", async () => {
        const server = await startServer(socket => socket.destroy());
        expect((await send(server.address)).kind).to.equal("lost");
    });

    describe("a body without a length that waits for its reader when its connection ends", () => {
        /** Sends a body and ends the connection some time after it, while the reader has read none of it. */
        async function doTest(bodyBytes: number, end: "finish" | "reset", expected: string) {
            const server = await startServer(socket => {
                socket.write(`${head}\r\n${"x".repeat(bodyBytes)}`);
                setTimeout(() => endConnection(socket, end), 100);
            });
            const result = await send(server.address);
            await new Promise(resolve => setTimeout(resolve, 200));
            const text = await read(result);
            expect(text.slice(0, text.indexOf(" "))).to.equal(expected);
        }

        function endConnection(socket: Socket, end: "finish" | "reset") {
            if (end === "finish") {
                socket.end();
            }
            else {
                socket.resetAndDestroy();
            }
        }

        it("ends no process (a little over 64 KB, closed)", () => doTest(66_000, "finish", "complete"));
        it("ends no process (a little over 64 KB, reset)", () => doTest(66_000, "reset", "incomplete"));
        it("ends no process (a little over 1 MB, closed)", () => doTest(1_048_700, "finish", "complete"));
        it("ends no process (a little over 1 MB, reset)", () => doTest(1_048_700, "reset", "incomplete"));
    });

    it("closes the connection when the caller disconnects", async () => {
        const disconnectController = new AbortController();
        const closed = new Promise<void>(resolve => {
            void startServer(socket => {
                socket.on("close", () => resolve());
                disconnectController.abort();
            }).then(server => send(server.address, "request-1", disconnectController.signal));
        });
        await closed;
    });

    it("forwards the request unchanged, with the platform's own headers added", async () => {
        const server = await startServer(socket => socket.write(`${head}Content-Length: 0\r\n\r\n`));
        await read(await send(server.address));
        const [request] = server.requests;
        expect(request).to.match(/^POST \/reads\/1 HTTP\/1\.1\r\n/);
        expect(request).to.match(/basilwing-expect-instance: engine-1\r\n/i);
        expect(request).to.match(/basilwing-tenant: alpha\r\n/i);
        expect(request).to.match(/basilwing-deadline-ms: 1000\r\n/i);
        expect(request?.endsWith("\r\n\r\nbody")).to.equal(true);
    });
});

/** Blocks the event loop, so that everything that arrives in this time is read at once. */
function blockEventLoop(milliseconds: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}
