import { expect } from "chai";
import { once } from "node:events";
import type { Socket } from "node:net";
import { CallerServer } from "../../../platform/callers";
import { CallerReply, ForwardedRequest } from "../../../src/forwarding";
import { createMetrics, Metrics } from "../../../src/metrics";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

describe("startCallerServer, on unusual requests and responses", () => {
    /** Long enough under any load; each case waits for a condition. */
    const limitMilliseconds = 15_000;
    const headers = "Host: one.example\r\nBasilwing-Request-Id: unusual\r\n";

    let callerServer: CallerServer;
    let metrics: Metrics;
    let respond: (reply: CallerReply, request: ForwardedRequest) => void | Promise<void>;
    let held: CallerReply[];
    beforeEach(async () => {
        held = [];
        metrics = createMetrics();
        respond = sendResponse;
        callerServer = await startTestCallerServer((request, reply) => {
            switch (request.requestId) {
                case "held":
                    held.push(reply);
                    return undefined;
                case "unusual":
                    return respond(reply, request);
                default:
                    return sendResponse(reply);
            }
        }, { metrics });
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    function sendResponse(reply: CallerReply): void {
        reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
    }

    async function waitUntil(isMet: () => boolean): Promise<void> {
        while (!isMet()) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }

    describe("a request that is no ordinary one", () => {
        async function doTest(text: string, expectedStatus: number, isKept: boolean): Promise<void> {
            const caller = openRawCaller(callerServer);
            caller.socket.write(text);
            await caller.waitForStatuses(1, limitMilliseconds);
            if (isKept) {
                caller.request("2");
            }
            await caller.waitForStatuses(2, limitMilliseconds);
            expect([caller.getStatuses(), caller.hasEnded()])
                .to.deep.equal([isKept ? [expectedStatus, 200] : [expectedStatus], !isKept]);
            expect(metrics.getUnanswered()).to.deep.equal({});
        }

        // Its connection was closed without an answer.
        it("is refused if it asks for a tunnel", () =>
            doTest(`CONNECT one.example:443 HTTP/1.1\r\n${headers}\r\n`, 400, false));
        it("is refused if it asks for a tunnel to a path", () =>
            doTest(`CONNECT /reads/1 HTTP/1.1\r\n${headers}\r\n`, 400, false));
        it("is answered if it asks for another protocol", () =>
            doTest(`GET /reads/1 HTTP/1.1\r\n${headers}Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n`, 200, true));
        it("is answered if it asks for another protocol, with a body", () =>
            doTest(
                `POST /reads/1 HTTP/1.1\r\n${headers}Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 4\r\n\r\nbody`,
                200,
                true,
            ));
        it("is refused if it has another expectation", () =>
            doTest(`POST /reads/1 HTTP/1.1\r\n${headers}Expect: other\r\nContent-Length: 4\r\n\r\nbody`, 417, true));
        it("is refused without a host", () =>
            doTest("GET /reads/1 HTTP/1.1\r\nBasilwing-Request-Id: unusual\r\n\r\n", 400, false));
    });

    describe("a request before something else on its connection is answered, where that is", () => {
        async function doTest(
            follow: (caller: Socket, socket: Socket) => void | Promise<void>,
            expectedLater: readonly number[],
        ) {
            const caller = openRawCaller(callerServer);
            const connected = once(callerServer.server, "connection") as Promise<[Socket]>;
            caller.request("held");
            const [socket] = await connected;
            await waitUntil(() => held.length === 1);
            const { bytesRead } = socket;
            await follow(caller.socket, socket);
            await waitUntil(() => socket.bytesRead > bytesRead || socket.destroyed);
            sendResponse(held[0]!);
            await caller.waitForStatuses(3, limitMilliseconds);
            expect([caller.getStatuses(), caller.hasEnded(), metrics.getUnanswered()])
                .to.deep.equal([[200, ...expectedLater], true, {}]);
        }

        it("a request for a tunnel", () =>
            doTest(caller => void caller.write(`CONNECT one.example:443 HTTP/1.1\r\n${headers}\r\n`), []));
        it("a request for a tunnel, before the end of the caller's side of it", () =>
            doTest(caller => void caller.write(`CONNECT one.example:443 HTTP/1.1\r\n${headers}\r\nbytes`), []));
        it("a request for a tunnel, while a long response is being sent", async () => {
            const caller = openRawCaller(callerServer);
            caller.request("held");
            await waitUntil(() => held.length === 1);
            held[0]!.start({ status: 200, headers: [] });
            const connecting = once(callerServer.server, "connect");
            caller.socket.write(`CONNECT one.example:443 HTTP/1.1\r\n${headers}\r\n`);
            await connecting;
            const part = Buffer.alloc(1_000_000, "a");
            for (let index = 0; index < 20; index++) {
                await held[0]!.write(part);
            }
            held[0]!.end();
            await waitUntil(caller.hasEnded);
            expect(caller.getText()).to.match(/\r\n0\r\n\r\n$/);
        });
        it("a request for a tunnel, and the process goes on if its caller resets the connection", async () => {
            const caller = openRawCaller(callerServer);
            caller.request("held");
            await waitUntil(() => held.length === 1);
            const connecting = once(callerServer.server, "connect");
            caller.socket.write(`CONNECT one.example:443 HTTP/1.1\r\n${headers}\r\n`);
            await connecting;
            caller.socket.resetAndDestroy();
            await waitUntil(() => callerServer.getOpenCount() === 0);
            expect(metrics.getUnanswered()).to.deep.equal({});
        });
        it("a request whose body is invalid", () =>
            doTest(
                caller =>
                    void caller.write(
                        `POST /reads/1 HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nzz\r\n`,
                    ),
                [400],
            ));
        it("a head that is never completed", () =>
            doTest(async (caller, socket) => {
                const { bytesRead } = socket;
                caller.write("GET /reads/1 HTTP/1.1\r\nHost: one.exa");
                await waitUntil(() => socket.bytesRead > bytesRead);
                const error = Object.assign(new Error("Request timeout"), { code: "ERR_HTTP_REQUEST_TIMEOUT" });
                callerServer.server.emit("clientError", error, socket);
            }, []));
    });

    describe("a response", () => {
        async function doTest(
            method: string,
            newRespond: (reply: CallerReply) => void | Promise<void>,
            expected: { status: number; body: string; head?: string; },
        ): Promise<void> {
            respond = newRespond;
            const caller = openRawCaller(callerServer);
            caller.socket.write(`${method} /reads/1 HTTP/1.1\r\n${headers}\r\n`);
            await caller.waitForStatuses(1, limitMilliseconds);
            caller.request("2");
            expect(await caller.waitForStatuses(2, limitMilliseconds)).to.deep.equal([expected.status, 200]);
            const [head, body] = getParts(caller.getText());
            expect(body).to.equal(expected.body);
            expect(head).to.include(expected.head ?? "");
        }

        /** Gets the head of the first response, and all between it and the second one. */
        function getParts(text: string): [string, string] {
            const bodyStart = text.indexOf("\r\n\r\n") + 4;
            return [text.slice(0, bodyStart), text.slice(bodyStart, text.lastIndexOf("HTTP/1.1 "))];
        }

        function send(status: number, responseHeaders: readonly string[], body: string) {
            return (reply: CallerReply) => reply.send({ status, headers: responseHeaders }, Buffer.from(body));
        }

        function stream(status: number, responseHeaders: readonly string[], body: string) {
            return async (reply: CallerReply) => {
                reply.start({ status, headers: responseHeaders });
                if (body !== "") {
                    await reply.write(Buffer.from(body));
                }
                reply.end();
            };
        }

        const none = { body: "" };

        it("to HEAD keeps the connection in step", () => doTest("HEAD", send(200, [], ""), { status: 200, ...none }));
        // It told that the body of a GET would be empty.
        it("to HEAD states the length that the backend server states", () =>
            doTest("HEAD", send(200, ["Content-Length", "12"], ""), {
                status: 200,
                ...none,
                head: "content-length: 12\r\n",
            }));
        it("with status 304 states the length that the backend server states", () =>
            doTest("GET", send(304, ["Content-Length", "12"], ""), {
                status: 304,
                ...none,
                head: "content-length: 12\r\n",
            }));
        it("to HEAD states no length where the backend server states none", () =>
            doTest("HEAD", send(200, ["X-One", "1"], ""), {
                status: 200,
                ...none,
                head: "HTTP/1.1 200 OK\r\nX-One: 1\r\nDate: ",
            }));
        it("to HEAD keeps the connection in step if it has a body all the same", () =>
            doTest("HEAD", send(200, [], "body"), { status: 200, ...none }));
        it("to HEAD keeps the connection in step if it is a stream", () =>
            doTest("HEAD", stream(200, [], "body"), { status: 200, ...none }));
        it("with status 204 keeps the connection in step", () =>
            doTest("GET", send(204, [], ""), { status: 204, ...none }));
        it("with status 204 keeps the connection in step if it has a body all the same", () =>
            doTest("GET", send(204, ["Content-Length", "4"], "body"), { status: 204, ...none }));
        it("with status 204 keeps the connection in step if it is a stream", () =>
            doTest("GET", stream(204, [], ""), { status: 204, ...none }));
        it("with status 304 keeps the connection in step", () =>
            doTest("GET", send(304, [], ""), { status: 304, ...none }));
        it("with status 304 keeps the connection in step if it is a stream with a body", () =>
            doTest("GET", stream(304, [], "body"), { status: 304, ...none }));
        it("with status 205 keeps the connection in step", () =>
            doTest("GET", send(205, [], ""), { status: 205, ...none }));
        it("with an unknown status is passed on", () =>
            doTest("GET", send(799, [], "body"), { status: 799, body: "body" }));

        const failureText = `{"error":{"code":"OUTCOME_UNKNOWN","requestId":"unusual"}}`;
        const invalidHeads: readonly (readonly [string, number, readonly string[]])[] = [
            ["a line break in a header's value", 200, ["X-One", "a\nb"]],
            ["a wide character in a header's value", 200, ["X-One", "\u0100"]],
            ["a space in a header's name", 200, ["X One", "1"]],
            ["an invalid value behind a valid end of the connection", 200, ["Trailer", "X-Two", "X-One", "\u0000"]],
            ["a status of 1000", 1_000, []],
            ["a status of 0", 0, []],
        ];
        invalidHeads.forEach(([title, status, responseHeaders]) => {
            it(`that can't be written is replaced: ${title}`, () =>
                doTest("GET", send(status, responseHeaders, "body"), { status: 502, body: failureText }));
            it(`that can't be written is replaced: ${title}, of a stream`, () =>
                doTest("GET", stream(status, responseHeaders, "body"), { status: 502, body: failureText }));
        });
    });
});
