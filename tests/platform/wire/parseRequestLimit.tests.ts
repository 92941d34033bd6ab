import { expect } from "chai";
import { parseRequestLimit } from "../../../platform/wire";
import { RequestLimit } from "../../../src/serverLimits";

describe("parseRequestLimit", () => {
    function doTest(text: string | undefined, expected: RequestLimit) {
        expect(parseRequestLimit(text)).to.deep.equal(expected);
    }

    it("finds no limit without a header", () => doTest(undefined, { kind: "none" }));
    it("reads a decimal number", () => doTest("1.25", { kind: "limited", requestsPerSecond: 1.25 }));
    it("bounds zero and tiny limits", () => {
        doTest("0", { kind: "limited", requestsPerSecond: 0.1 });
        doTest("0.000001", { kind: "limited", requestsPerSecond: 0.1 });
    });
    it("takes a huge limit for none", () => doTest("99999999999", { kind: "none" }));
    ["", "-1", "1e9", "NaN", "1,5", "Infinity", "1 2", "9".repeat(400)].forEach(text => {
        it(`rejects "${text.slice(0, 10)}"`, () => doTest(text, { kind: "malformed", text }));
    });
});
