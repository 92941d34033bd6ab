import { expect } from "chai";
import { PromptPart } from "../../src/forwarding";
import { getPromptPrefixes } from "../../src/forwarding/getPromptPrefixes";

describe("getPromptPrefixes", () => {
    function createParts(count: number, getId = (index: number) => index.toString(16)): readonly PromptPart[] {
        return Array.from({ length: count }, (...[, index]) => ({ id: getId(index), tokens: 16 }));
    }

    /** Gets the number of parts of the longest prefix that two prompts are found to share. */
    function getSharedCount(left: readonly PromptPart[], right: readonly PromptPart[]): number {
        const digests = new Set(getPromptPrefixes(right).map(({ digest }) => digest));
        return getPromptPrefixes(left).find(({ digest }) => digests.has(digest))?.partCount ?? 0;
    }

    function doTest(partCount: number, expected: readonly number[]) {
        return () =>
            expect(getPromptPrefixes(createParts(partCount)).map(prefix => prefix.partCount)).to.deep.equal(expected);
    }

    it("lists none of a prompt without parts", doTest(0, []));
    it("lists none of a prompt whose only part is its own", doTest(1, []));
    it("lists all of a prompt with few parts, the longest first", doTest(5, [4, 3, 2, 1]));
    it(
        "lists the longest one at any length",
        doTest(20, [19, 18, 16, 15, 14, 13, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1]),
    );

    it("finds at least seven eighths of the parts that two prompts share", () => {
        for (const sharedCount of [1, 2, 15, 16, 17, 31, 33, 100, 336, 700, 4_000]) {
            const getOther = (index: number) => index < sharedCount ? index.toString(16) : `f${index}`;
            const found = getSharedCount(createParts(sharedCount + 50), createParts(sharedCount + 80, getOther));
            expect(found).to.be.within(Math.ceil(sharedCount * 7 / 8), sharedCount);
        }
    });
    it("distinguishes prompts whose ids differ only in where they are divided", () =>
        expect(getSharedCount(
            [{ id: "ab", tokens: 1 }, { id: "c", tokens: 1 }, { id: "d", tokens: 1 }],
            [{ id: "a", tokens: 1 }, { id: "bc", tokens: 1 }, { id: "d", tokens: 1 }],
        )).to.equal(0));
    it("distinguishes prompts that repeat one id a different number of times", () => {
        const digests = getPromptPrefixes(createParts(100, () => "a")).map(({ digest }) => digest);
        expect(new Set(digests).size).to.equal(digests.length);
    });
});
