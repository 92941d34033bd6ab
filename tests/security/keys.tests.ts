import { expect } from "chai";
import { areDigestsEqual, createKeyDigest, isKeyAccepted } from "../../src/security";

describe("createKeyDigest", () => {
    it("is the SHA-256 in hexadecimal", () =>
        expect(createKeyDigest("abc")).to.equal("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
});

describe("compareDigests", () => {
    function doTest(first: string, second: string, expected: boolean): void {
        expect(areDigestsEqual(first, second)).to.equal(expected);
    }

    const digest = createKeyDigest("a");
    it("finds equal digests equal", () => doTest(digest, createKeyDigest("a"), true));
    it("finds different digests different", () => doTest(digest, createKeyDigest("b"), false));
    it("finds a malformed digest equal to none", () => doTest("", "", false));
    it("finds a digest in capitals malformed", () => doTest(digest.toUpperCase(), digest.toUpperCase(), false));
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
    it("refuses every key where none is listed", () => doTest("", [], false));
});
