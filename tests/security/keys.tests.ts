import { expect } from "chai";
import { areDigestsEqual, createKeyDigest, isKeyAccepted } from "../../src/security";

describe("createKeyDigest", () => {
    it("is the SHA-256 in hexadecimal", () =>
        expect(createKeyDigest("abc")).to.equal("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
});

describe("areDigestsEqual", () => {
    function doTest(first: string, second: string, expected: boolean): void {
        expect(areDigestsEqual(first, second)).to.equal(expected);
    }

    const digest = createKeyDigest("a");
    it("returns true for equal digests", () => doTest(digest, createKeyDigest("a"), true));
    it("returns false for different digests", () => doTest(digest, createKeyDigest("b"), false));
    it("returns false for malformed digests", () => doTest("", "", false));
    it("returns false for digests in upper case", () => doTest(digest.toUpperCase(), digest.toUpperCase(), false));
});

describe("isKeyAccepted", () => {
    function doTest(key: string, accepted: readonly string[], expected: boolean): void {
        expect(isKeyAccepted(key, accepted.map(createKeyDigest))).to.equal(expected);
    }

    it("accepts the only key", () => doTest("old", ["old"], true));
    it("accepts the old and the new key while both are listed", () => {
        doTest("old", ["old", "new"], true);
        doTest("new", ["old", "new"], true);
    });
    it("refuses the old key once it is no longer listed", () => doTest("old", ["new"], false));
    it("refuses every key if none is listed", () => doTest("", [], false));
});
