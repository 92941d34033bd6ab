import { expect } from "chai";
import { decodeResponseHead } from "../../../platform/backends";
import { ResponseFraming } from "../../../src/forwarding";

describe("decodeResponseHead", () => {
    const named = ["Basilwing-Request-Id", "request-1"];
    const sealed = ["Basilwing-Request-Id", "request-1", "Basilwing-Response-Seal", "seal"];

    function doTest(status: number, headers: readonly string[], expected: "response" | "notRun" | "invalid") {
        expect(decodeResponseHead(status, headers, "request-1").kind).to.equal(expected);
    }

    it("accepts a sealed success", () => doTest(200, sealed, "response"));
    it("accepts a sealed failure", () => doTest(500, sealed, "response"));
    [0, 99, 100, 199, 600, 999].forEach(status => {
        it(`does not pass status ${status} on, which no final response has`, () => doTest(status, sealed, "invalid"));
        it(`does not conclude from status ${status} that a request was not run`, () =>
            doTest(status, [...named, "Basilwing-Not-Executed", "1"], "invalid"));
    });
    it("accepts the statuses at both ends of the range", () => {
        doTest(200, sealed, "response");
        doTest(599, sealed, "response");
    });
    it("rejects a success without a seal", () => doTest(200, ["Basilwing-Request-Id", "request-1"], "invalid"));
    it("rejects a response to another request", () =>
        doTest(200, ["Basilwing-Request-Id", "request-0", "Basilwing-Response-Seal", "seal"], "invalid"));
    it("rejects a response without a request id", () => doTest(200, ["Basilwing-Response-Seal", "seal"], "invalid"));
    it("rejects an encoded body", () => doTest(200, [...sealed, "Content-Encoding", "gzip"], "invalid"));
    it("accepts the header that says that the request was not run", () =>
        doTest(503, [...named, "Basilwing-Not-Executed", "1"], "notRun"));
    it("concludes that a misdirected request was not run", () => doTest(421, named, "notRun"));
    describe("does not conclude from an earlier refusal, repeated on a kept connection, that a request was not run", () => {
        [408, 421, 429, 503].forEach(status => {
            it(`with status ${status} for another request`, () =>
                doTest(status, ["Basilwing-Request-Id", "request-0", "Basilwing-Not-Executed", "1"], "invalid"));
            it(`with status ${status} for an unnamed request`, () =>
                doTest(status, ["Basilwing-Not-Executed", "1"], "invalid"));
        });
    });
    [408, 429, 503].forEach(status => {
        it(`rejects status ${status} without that header, since it would imply that the request was not run`, () =>
            doTest(status, sealed, "invalid"));
    });

    it("decodes load, retry time and instance of a response to a request that was not run", () => {
        const outcome = decodeResponseHead(503, [
            ...named,
            "Basilwing-Not-Executed",
            "1",
            "Retry-After",
            "0.25",
            "Basilwing-Instance-Load",
            "6,3,6",
            "Basilwing-Instance-Id",
            "engine-2",
        ], "request-1");
        expect(outcome).to.deep.include({
            retryAfterMilliseconds: 250,
            load: { running: 6, waiting: 3, slots: 6 },
            answeredBy: "engine-2",
        });
    });

    describe("the framing", () => {
        function doTest(headers: readonly string[], expected: ResponseFraming) {
            const outcome = decodeResponseHead(200, [...sealed, ...headers], "request-1");
            expect(outcome.kind === "response" && outcome.framing).to.equal(expected);
        }

        it("is a content length", () => doTest(["Content-Length", "4"], ResponseFraming.ContentLength));
        it("is chunks", () => doTest(["Transfer-Encoding", "chunked"], ResponseFraming.Chunks));
        it("is the end of the connection otherwise", () => doTest([], ResponseFraming.ConnectionEnd));
    });

    it("keeps the headers as received, except hop-by-hop headers", () => {
        const outcome = decodeResponseHead(200, [...sealed, "X-Own", "A b", "Connection", "close"], "request-1");
        expect(outcome.kind === "response" && outcome.head.headers).to.deep.equal([...sealed, "X-Own", "A b"]);
    });
});
