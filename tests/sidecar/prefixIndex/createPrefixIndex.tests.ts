import { expect } from "chai";
import fc from "fast-check";
import { CacheEvent } from "../../../src/backends";
import { createPrefixChain } from "../../../src/routing";
import { createPrefixIndex } from "../../../src/sidecar";

describe("createPrefixIndex", () => {
    function getHash(index: number): string {
        return index.toString(16).padStart(8, "0").repeat(4);
    }

    function createEvent(number: number, kind: CacheEvent["kind"], blocks: number[], incarnation = "1"): CacheEvent {
        return { number, incarnation, kind, hashes: blocks.map(getHash) };
    }

    describe("getCachedBlocks", () => {
        function doTest(
            events: CacheEvent[],
            blocks: number[],
            expectedCertain: number,
            expectedLikely = expectedCertain,
        ) {
            const index = createPrefixIndex();
            events.forEach(index.addEvent);
            expect(index.getCachedBlocks(blocks.map(getHash))).to.equal(expectedCertain);
            expect(index.getLikelyBlocks(blocks.map(getHash))).to.equal(expectedLikely);
        }

        it("counts the leading blocks", () => doTest([createEvent(1, "stored", [1, 2, 4])], [1, 2, 3, 4], 2));
        it("does not count removed blocks", () =>
            doTest([createEvent(1, "stored", [1, 2]), createEvent(2, "removed", [2])], [1, 2], 1));
        it("removes all blocks when the cache was cleared", () =>
            doTest([createEvent(1, "stored", [1]), createEvent(2, "cleared", [])], [1], 0));
        it("is uncertain of blocks stored before a gap", () =>
            doTest([createEvent(1, "stored", [1]), createEvent(3, "stored", [2])], [1, 2], 0, 2));
        it("is certain of blocks stored after a gap", () =>
            doTest([createEvent(1, "stored", [1]), createEvent(3, "stored", [1])], [1], 1));
        it("applies an event once", () =>
            doTest(
                [createEvent(1, "stored", [1]), createEvent(2, "removed", [1]), createEvent(1, "stored", [1])],
                [1],
                0,
            ));
        it("is emptied by a new incarnation", () =>
            doTest([createEvent(9, "stored", [1]), createEvent(1, "stored", [2], "2")], [1], 0));
        it("ignores late events of an earlier incarnation", () =>
            doTest(
                [
                    createEvent(1, "stored", [1]),
                    createEvent(1, "stored", [2], "2"),
                    createEvent(2, "stored", [3]),
                ],
                [3],
                0,
            ));
    });

    describe("addResponse", () => {
        it("confirms blocks after a gap", () => {
            const index = createPrefixIndex();
            index.addEvent(createEvent(1, "stored", [1]));
            index.addEvent(createEvent(5, "stored", [7]));
            index.addResponse([getHash(1), getHash(2)], 1, "1");
            expect(index.getCachedBlocks([getHash(1), getHash(2)])).to.equal(2);
        });

        it("reports blocks that a response found uncached", () => {
            const missing: number[] = [];
            const index = createPrefixIndex({ onOvercount: blocks => missing.push(blocks) });
            index.addEvent(createEvent(1, "stored", [1, 2, 3]));
            index.addResponse([1, 2, 3].map(getHash), 1, "1");
            expect(missing).to.deep.equal([2]);
        });

        it("ignores a response of a retired incarnation", () => {
            const index = createPrefixIndex();
            index.addEvent(createEvent(1, "stored", [1]));
            index.reset("2");
            index.addResponse([getHash(1)], 1, "1");
            expect(index.getSize()).to.equal(0);
        });
    });

    it("reports how many events a gap lost", () => {
        const gaps: number[] = [];
        const index = createPrefixIndex({ onEventGap: lost => gaps.push(lost) });
        index.addEvent(createEvent(1, "stored", [1]));
        index.addEvent(createEvent(5, "stored", [2]));
        expect(gaps).to.deep.equal([3]);
    });

    it("finds no block of another scope", () => {
        const index = createPrefixIndex();
        const chain = createPrefixChain("a prompt", { workspace: "a", model: "m", version: "1" }, 4);
        index.addEvent({ number: 1, incarnation: "1", kind: "stored", hashes: chain.hashes });
        for (const other of [{ workspace: "b" }, { model: "n" }, { version: "2" }]) {
            const { hashes } = createPrefixChain("a prompt", { ...chain.scope, ...other }, 4);
            expect(index.getCachedBlocks(hashes)).to.equal(0);
        }
    });

    it("holds no more blocks than its maximum", () => {
        const index = createPrefixIndex({ maximumBlocks: 1_000 });
        for (let number = 1; number <= 5_000; number++) {
            index.addEvent(createEvent(number, "stored", [number]));
            expect(index.getSize()).to.be.at.most(1_000);
        }
        expect(index.getCachedBlocks([getHash(5_000)])).to.equal(1);
    });

    it("never counts an uncached block as certain, whichever events are lost", () => {
        const step = fc.record({
            kind: fc.constantFrom<"stored" | "removed" | "cleared" | "answered">(
                "stored",
                "stored",
                "removed",
                "removed",
                "cleared",
                "answered",
            ),
            block: fc.nat(40),
            isLost: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 300 }), steps => {
                const index = createPrefixIndex();
                const engine = new Set<number>();
                steps.forEach(({ kind, block, isLost }, position) => {
                    const number = position + 1;
                    applyToEngine(engine, kind, block);
                    if (kind === "answered") {
                        index.addResponse([getHash(block)], 1, "1");
                    }
                    const isDelivered = !isLost || kind === "answered";
                    if (isDelivered) {
                        index.addEvent(createEvent(number, kind === "answered" ? "stored" : kind, [block]));
                        expectNoOvercount(engine);
                    }
                });

                function expectNoOvercount(held: ReadonlySet<number>): void {
                    for (let other = 0; other <= 40; other++) {
                        if (index.getCachedBlocks([getHash(other)]) === 1) {
                            expect(held.has(other)).to.equal(true);
                        }
                    }
                }
            }),
            { seed: 11, numRuns: 200 },
        );

        function applyToEngine(engine: Set<number>, kind: string, block: number): void {
            if (kind === "cleared") {
                engine.clear();
            }
            else if (kind === "removed") {
                engine.delete(block);
            }
            else {
                engine.add(block);
            }
        }
    });
});
