/*
 * Tests that unary calls end as with the library's transport, whatever the server responds.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { expect } from "chai";
import { once } from "node:events";
import { constants, createServer, Http2Server, ServerHttp2Stream } from "node:http2";
import { AddressInfo } from "node:net";
import { addAbortSignal } from "node:stream";
import { gzipSync } from "node:zlib";
import { RecordStreamOriginsResponseSchema, StreamOriginService } from "../../src/protocol";
import { createUnaryCaller } from "../../src/protocol/createUnaryCaller";

const headers = { ":status": 200, "content-type": "application/proto" };
const message = Buffer.from(
    toBinary(RecordStreamOriginsResponseSchema, create(RecordStreamOriginsResponseSchema, { memberIncarnation: "m1" })),
);

/** What the caller of a call can tell. */
interface CallEnd {
    memberIncarnation?: string;
    hasFailed?: boolean;
    runMetadata?: string;
    code?: number;
}

describe("createUnaryCaller", () => {
    let server: Http2Server;
    let respond: (stream: ServerHttp2Stream) => void;
    let transports: Transport[];
    let managers: Http2SessionManager[];
    let requests: object[];

    beforeEach(async () => {
        requests = [];
        server = createServer();
        server.on("stream", (stream, requestHeaders) => {
            stream.on("error", () => undefined);
            const chunks: Buffer[] = [];
            stream.on("data", (chunk: Buffer) => chunks.push(chunk));
            stream.on("end", () => {
                requests.push({
                    path: requestHeaders[":path"],
                    timeout: requestHeaders["connect-timeout-ms"],
                    type: requestHeaders["content-type"],
                    encodings: requestHeaders["accept-encoding"],
                    mark: requestHeaders.mark,
                    body: Buffer.concat(chunks).toString("hex"),
                });
                respond(stream);
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        managers = [new Http2SessionManager(baseUrl), new Http2SessionManager(baseUrl)];
        const library = createConnectTransport({ baseUrl, httpVersion: "2", sessionManager: managers[0] });
        transports = [library, { ...library, unary: createUnaryCaller(managers[1]!) }];
    });

    afterEach(() => {
        managers.forEach(manager => manager.abort());
        server.close();
    });

    /** Calls through both transports, and expects the same end and the same request. */
    async function doTest(
        newRespond: (stream: ServerHttp2Stream) => void,
        expected: CallEnd,
        options: { timeoutMs?: number; createSignal?: () => AbortSignal; } = {},
    ): Promise<void> {
        respond = newRespond;
        const [libraryEnd, end] = [await call(transports[0]!), await call(transports[1]!)];
        expect(end).to.include(expected);
        expect(end).to.deep.equal(libraryEnd);
        expect(requests[1]).to.deep.equal(requests[0]);

        async function call(transport: Transport): Promise<CallEnd> {
            try {
                const { message: received } = await transport.unary(
                    StreamOriginService.method.record,
                    options.createSignal?.(),
                    options.timeoutMs,
                    { mark: "7" },
                    { origins: [{ requestId: "r1" }] },
                );
                return { memberIncarnation: received.memberIncarnation };
            }
            catch (thrown) {
                const { metadata, code } = ConnectError.from(thrown);
                return { hasFailed: true, runMetadata: metadata.get("basilwing-run") ?? undefined, code };
            }
        }
    }

    it("returns the message", () => doTest(respondWith(message), { memberIncarnation: "m1" }));

    it("sends its timeout", () => doTest(respondWith(message), { memberIncarnation: "m1" }, { timeoutMs: 60_000 }));

    it("returns a message that comes in pieces", () =>
        doTest(stream => {
            stream.respond(headers);
            stream.write(message.subarray(0, 2));
            setImmediate(() => stream.end(message.subarray(2)));
        }, { memberIncarnation: "m1" }));

    it("returns a compressed message", () =>
        doTest(respondWith(gzipSync(message), { "content-encoding": "gzip" }), { memberIncarnation: "m1" }));

    it("returns an empty message", () => doTest(respondWith(Buffer.alloc(0)), { memberIncarnation: "" }));

    it("fails with the code and the metadata of an error, which tell that the call has not run", () =>
        doTest(
            respondWith(Buffer.from(JSON.stringify({ code: "permission_denied", message: "no" })), {
                ":status": 403,
                "content-type": "application/json",
                "basilwing-run": "no",
            }),
            { hasFailed: true, runMetadata: "no", code: 7 },
        ));

    it("fails on an error that is not of the protocol", () =>
        doTest(respondWith(Buffer.from("gone"), { ":status": 404, "content-type": "text/plain" }), {
            hasFailed: true,
            code: 12,
        }));

    it("fails on another type of content", () =>
        doTest(respondWith(message, { "content-type": "text/plain" }), { hasFailed: true, code: 2 }));

    it("fails on an encoding that it doesn't accept", () =>
        doTest(respondWith(message, { "content-encoding": "deflate" }), { hasFailed: true, code: 13 }));

    it("fails on bytes that are no message", () =>
        doTest(respondWith(Buffer.from([255, 255, 255])), { hasFailed: true, code: 13 }));

    it("does not take a part for the whole where the length differs", () =>
        doTest(respondWith(message.subarray(0, 2), { "content-length": "4" }), { hasFailed: true }));

    for (const sent of [undefined, 0, 2]) {
        it(`fails where the stream is reset after ${sent ?? "no headers and no"} bytes`, () =>
            doTest(stream => {
                if (sent !== undefined) {
                    stream.respond(headers);
                    stream.write(message.subarray(0, sent));
                }
                setImmediate(() => stream.destroy(new Error("reset")));
            }, { hasFailed: true }));
    }

    // Callers tell a cancelled call from a failed one by its code.
    for (const resetCode of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13]) {
        it(`fails at reset code ${resetCode} before headers`, () =>
            doTest(stream => stream.close(resetCode), {
                hasFailed: true,
                code: resetCode === constants.NGHTTP2_CANCEL ? Code.Canceled : Code.Internal,
            }));
    }

    for (const sent of [0, 2]) {
        it(`fails where the server cancels the stream after headers and ${sent} bytes`, () =>
            doTest(stream => {
                stream.respond(headers);
                stream.write(message.subarray(0, sent));
                setImmediate(() => addAbortSignal(AbortSignal.abort(), stream));
            }, { hasFailed: true }));
    }

    it("fails where the stream ends without headers and without an error, where the library waits", async () => {
        respond = stream => stream.close(constants.NGHTTP2_NO_ERROR);
        const calling = transports[1]!.unary(StreamOriginService.method.record, undefined, undefined, {}, {});
        const thrown = await calling.then(() => undefined, (error: ConnectError) => error);
        expect(thrown?.code).to.equal(Code.Unavailable);
    });

    it("fails where the connection ends without a response", () =>
        doTest(stream => void stream.session?.destroy(), { hasFailed: true, code: 1 }));

    it("fails at its timeout", () => doTest(() => undefined, { hasFailed: true, code: 4 }, { timeoutMs: 30 }));

    it("fails where the signal is aborted during the call", () =>
        doTest(() => undefined, { hasFailed: true, code: 1 }, { createSignal: () => AbortSignal.timeout(30) }));

    it("fails where the signal is aborted before", () =>
        doTest(() => undefined, { hasFailed: true, code: 1 }, { createSignal: () => AbortSignal.abort() }));

    it("names the cause of a failed connection, from which callers learn that nothing was sent", async () => {
        const manager = new Http2SessionManager("http://127.0.0.1:1");
        const calling = createUnaryCaller(manager)(StreamOriginService.method.record, undefined, undefined, {}, {});
        const thrown = await calling.then(() => undefined, (error: ConnectError) => error);
        expect(thrown?.code).to.equal(Code.Unavailable);
        expect((thrown?.cause as NodeJS.ErrnoException).code).to.equal("ECONNREFUSED");
    });
});

function respondWith(body: Buffer, more: object = {}): (stream: ServerHttp2Stream) => void {
    return stream => {
        stream.respond({ ...headers, ...more });
        stream.end(body);
    };
}
