import { expect } from "chai";
import fc from "fast-check";
import { createPrefixCache } from "../../../src/standIns/engine/createPrefixCache";

describe("createPrefixCache", () => {
    it("evicts the end of the least recently used chain first", () => {
        const evicted: string[] = [];
        const cache = createPrefixCache(3, hash => evicted.push(hash));
        ["a", "b", "c"].forEach((hash, index, hashes) => cache.add(hash, hashes[index - 1] ?? ""));
        cache.touch(["a", "b", "c"]);
        cache.add("x", "");
        expect(evicted).to.deep.equal(["c"]);
        expect(cache.countCached(["a", "b", "c"])).to.equal(2);
        expect(cache.getChain("b")).to.deep.equal(["a", "b"]);
    });

    it("never holds more than its capacity and reports each eviction", () => {
        const hashes = fc.array(fc.constantFrom("a", "b", "c", "d", "e", "f"), { maxLength: 50 });
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 5 }), hashes, (capacity, added) => {
                const cached = new Set<string>();
                const cache = createPrefixCache(capacity, hash => cached.delete(hash));
                for (const hash of added) {
                    cached.add(hash);
                    cache.add(hash, "");
                    expect(cache.getHashes().length).to.be.at.most(capacity);
                    expect(cache.getHashes()).to.have.members([...cached]);
                }
            }),
            { seed: 2 },
        );
    });
});
