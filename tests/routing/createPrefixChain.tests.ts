import { expect } from "chai";
import fc from "fast-check";
import { createPrefixChain, PrefixScope } from "../../src/routing";

describe("createPrefixChain", () => {
    const scope: PrefixScope = { workspace: "regie", model: "large", version: "1" };

    describe("hashes", () => {
        function doTest(first: string, second: string, expectedShared: number): void {
            const firstHashes = createPrefixChain(first, scope, 4).hashes;
            const secondHashes = createPrefixChain(second, scope, 4).hashes;
            const shared = firstHashes.filter((hash, index) => secondHashes[index] === hash).length;
            expect(shared).to.equal(expectedShared);
        }

        it("are equal for equal prompts", () => doTest("abcdefgh", "abcdefgh", 2));
        it("are equal up to the first block that differs", () => doTest("abcdefghijkl", "abcdeXghijkl", 1));
        it("leave out an incomplete last block", () => doTest("abcdefg", "abcdXYZ", 1));
    });

    it("shares no hash between scopes", () => {
        const scopes = fc.record({ workspace: fc.string(), model: fc.string(), version: fc.string() });
        fc.assert(
            fc.property(scopes, scopes, fc.string({ minLength: 8 }), (first, second, prompt) => {
                fc.pre(JSON.stringify(first) !== JSON.stringify(second));
                const firstHashes = createPrefixChain(prompt, first, 4).hashes;
                const secondHashes = createPrefixChain(prompt, second, 4).hashes;
                expect(firstHashes.some(hash => secondHashes.includes(hash))).to.equal(false);
            }),
            { seed: 1 },
        );
    });
});
