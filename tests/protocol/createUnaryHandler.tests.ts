/*
 * Tests that requests are answered as by the library's handlers.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type ConnectRouter, createContextValues } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { expect } from "chai";
import { once } from "node:events";
import { connect, constants, createServer, Http2Server, IncomingHttpHeaders } from "node:http2";
import { AddressInfo } from "node:net";
import { gunzipSync, gzipSync } from "node:zlib";
import { StreamOriginSchema, StreamOriginService } from "../../src/protocol";
import { createUnaryHandler } from "../../src/protocol/createUnaryHandler";

const { input: requestSchema, parent: service, name } = StreamOriginService.method.find;
const path = `/${service.typeName}/${name}`;
const usualHeaders = { "content-type": "application/proto", "connect-protocol-version": "1" };
const maximumMessageBytes = 1_048_576;

function getRequest(requestId: string): Buffer {
    return Buffer.from(toBinary(requestSchema, create(requestSchema, { requestId })));
}

/** Adds a service whose responses and failures depend on the id of the stream. */
function addService(router: ConnectRouter): void {
    router.service(StreamOriginService, {
        find: ({ requestId }) => {
            switch (requestId) {
                case "refused":
                    throw new ConnectError("no", Code.PermissionDenied, { "basilwing-run": "no" });
                case "framed":
                    throw new ConnectError("no", Code.PermissionDenied, {
                        "basilwing-run": "no",
                        "connection": "close",
                        "content-encoding": "gzip",
                        "content-length": "3",
                        "content-type": "text/plain",
                        "te": "gzip",
                        "transfer-encoding": "chunked",
                        "upgrade": "h2c",
                    });
                case "unsendable":
                    throw Object.assign(new ConnectError("no", Code.PermissionDenied), { metadata: undefined });
                case "broken":
                    throw new Error("a detail that nobody may learn");
                case "long":
                    return { origin: create(StreamOriginSchema, { requestId: "x".repeat(5_000) }) };
                default:
                    return { origin: create(StreamOriginSchema, { requestId }) };
            }
        },
    });
}

describe("createUnaryHandler", () => {
    let servers: Http2Server[];
    let libraryCount = 0;

    beforeEach(async () => {
        libraryCount = 0;
        const library = connectNodeAdapter({ routes: addService, readMaxBytes: maximumMessageBytes });
        const unaryHandler = createUnaryHandler({
            otherwise: (request, response) => {
                libraryCount += 1;
                otherwise(request, response);
            },
            interceptors: [],
            getContextValues: createContextValues,
        });
        const otherwise = connectNodeAdapter({ routes: router => addService(unaryHandler.wrapRouter(router)) });
        servers = [createServer(library), createServer(unaryHandler.handle)];
        await Promise.all(servers.map(server => once(server.listen(0, "127.0.0.1"), "listening")));
    });

    afterEach(() => servers.forEach(server => server.close()));

    async function send(server: Http2Server, headers: Record<string, string>, body: Buffer): Promise<object> {
        const session = connect(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
        const stream = session.request({ ":method": "POST", ":path": path, ...usualHeaders, ...headers });
        let received: IncomingHttpHeaders = {};
        stream.on("response", responseHeaders => received = responseHeaders);
        stream.on("error", () => undefined);
        const chunks: Buffer[] = [];
        stream.on("data", (chunk: Buffer) => chunks.push(chunk));
        stream.end(body);
        await new Promise<void>(resolve => void stream.on("close", resolve));
        session.destroy();
        const raw = Buffer.concat(chunks);
        const content = received["content-encoding"] === "gzip" ? gunzipSync(raw) : raw;
        const isJson = received["content-type"] === "application/json";
        return {
            status: received[":status"],
            type: received["content-type"],
            encoding: received["content-encoding"],
            run: received["basilwing-run"],
            resetCode: stream.rstCode,
            content: isJson ? (JSON.parse(content.toString()) as { code?: string; }).code : content.toString("hex"),
        };
    }

    async function doTest(
        headers: Record<string, string>,
        body: Buffer,
        expected: object,
        isServedByLibrary = false,
    ): Promise<void> {
        const libraryResponse = await send(servers[0]!, headers, body);
        const response = await send(servers[1]!, headers, body);
        expect(response).to.deep.equal(libraryResponse);
        expect(response).to.include(expected);
        expect(libraryCount).to.equal(isServedByLibrary ? 1 : 0);
    }

    it("sends the message", () => doTest({}, getRequest("a"), { status: 200, type: "application/proto" }));

    it("accepts a time limit", () => doTest({ "connect-timeout-ms": "500" }, getRequest("a"), { status: 200 }));

    it("accepts an empty message", () => doTest({}, Buffer.alloc(0), { status: 200 }));

    it("compresses a long message for callers that accept it", () =>
        doTest({ "accept-encoding": "gzip,br" }, getRequest("long"), { status: 200, encoding: "gzip" }));

    it("does not compress it for others", () => doTest({}, getRequest("long"), { status: 200, encoding: undefined }));

    it("sends the code and the metadata of an error", () =>
        doTest({}, getRequest("refused"), { status: 403, run: "no", content: "permission_denied" }));

    // Metadata of an error from elsewhere may have the headers of the response with which it came.
    it("does not let the metadata of an error set how the response is framed", async () => {
        expect(await send(servers[1]!, {}, getRequest("framed"))).to.deep.equal({
            status: 403,
            type: "application/json",
            encoding: undefined,
            run: "no",
            content: "permission_denied",
            resetCode: constants.NGHTTP2_NO_ERROR,
        });
    });

    // The caller waited for its deadline, and the process ended.
    it("resets the stream of an error that can't be sent, and goes on", async () => {
        const response = await send(servers[1]!, {}, getRequest("unsendable"));
        expect(response).to.include({ status: undefined, resetCode: constants.NGHTTP2_INTERNAL_ERROR });
        await doTest({}, getRequest("a"), { status: 200 });
    });

    it("hides other failures", () => doTest({}, getRequest("broken"), { status: 500, content: "internal" }));

    it("refuses bytes that are no message", () =>
        doTest({}, Buffer.from([255, 255, 255]), { status: 500, content: "internal" }));

    it("leaves JSON, compressed requests and invalid time limits to the library", async () => {
        await doTest(
            { "content-type": "application/json" },
            Buffer.from("{\"requestId\":\"a\"}"),
            { status: 200 },
            true,
        );
        libraryCount = 0;
        await doTest({ "content-encoding": "gzip" }, gzipSync(getRequest("a")), { status: 200 }, true);
        libraryCount = 0;
        await doTest({ "connect-timeout-ms": "x" }, getRequest("a"), { status: 400 }, true);
        libraryCount = 0;
        await doTest({ ":path": `${path}2` }, getRequest("a"), { status: 404 }, true);
    });

    it("refuses a message over the limit of the service", async () => {
        const response = await send(servers[1]!, {}, getRequest("x".repeat(2_000_000)));
        expect(response).to.include({ status: 429, content: "resource_exhausted" });
        expect(libraryCount).to.equal(0);
    });

    it("survives callers that leave in the middle of a request", async () => {
        const session = connect(`http://127.0.0.1:${(servers[1]!.address() as AddressInfo).port}`);
        const stream = session.request({ ":method": "POST", ":path": path, ...usualHeaders });
        stream.on("error", () => undefined);
        stream.write(getRequest("abcdef").subarray(0, 3));
        await once(session, "remoteSettings");
        session.destroy();
        expect(await send(servers[1]!, {}, getRequest("a"))).to.include({ status: 200 });
    });
});
