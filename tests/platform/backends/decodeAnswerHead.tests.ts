import { expect } from "chai";
import { decodeResponseHead } from "../../../platform/backends";

describe("decodeAnswerHead", () => {
    const sealed = ["Basilwing-Request-Id", "request-1", "Basilwing-Response-Seal", "seal"];

    function doTest(status: number, headers: readonly string[], expected: "answer" | "notRun" | "foreign") {
        expect(decodeResponseHead(status, headers, "request-1").kind).to.equal(expected);
    }

    it("takes a sealed success", () => doTest(200, sealed, "answer"));
    it("takes a sealed failure", () => doTest(500, sealed, "answer"));
    it("takes no success without a seal", () => doTest(200, ["Basilwing-Request-Id", "request-1"], "foreign"));
    it("takes no answer to another request", () =>
        doTest(200, ["Basilwing-Request-Id", "request-0", "Basilwing-Response-Seal", "seal"], "foreign"));
    it("takes no answer without an id", () => doTest(200, ["Basilwing-Response-Seal", "seal"], "foreign"));
    it("takes no encoded body", () => doTest(200, [...sealed, "Content-Encoding", "gzip"], "foreign"));
    it("believes a mark that the request was not run", () => doTest(503, ["Basilwing-Not-Executed", "1"], "notRun"));
    it("believes that a misdirected request was not run", () => doTest(421, [], "notRun"));
    [408, 429, 503].forEach(status => {
        it(`passes no ${status} on that lacks the mark, as it would promise that nothing ran`, () =>
            doTest(status, sealed, "foreign"));
    });

    it("reads load, wait and instance of one that did not run the request", () => {
        const outcome = decodeResponseHead(503, [
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

    it("passes the headers on as they came, but those of the connection", () => {
        const outcome = decodeResponseHead(200, [...sealed, "X-Own", "A b", "Connection", "close"], "request-1");
        expect(outcome.kind === "answer" && outcome.head.headers).to.deep.equal([...sealed, "X-Own", "A b"]);
    });
});
