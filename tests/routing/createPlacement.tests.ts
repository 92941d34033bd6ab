import { expect } from "chai";
import fc from "fast-check";
import { createHash } from "node:crypto";
import { ProcessRecord } from "../../src/protocol";
import { createPlacement, PlacementRequest } from "../../src/routing";
import { createRandomSource } from "../../src/runtime";
import { createManualClock } from "../support/createManualClock";
import { createSidecarRecord } from "../support/createSidecarRecord";

describe("createPlacement", () => {
    const candidates = createCandidates(12);

    function createCandidates(count: number): ProcessRecord[] {
        return [...Array(count).keys()].map(index => createSidecarRecord(`instance-${index}`));
    }

    function createChain(name: string, length: number): string[] {
        return [...Array(length).keys()].map(index =>
            createHash("sha256").update(`${name}/${index}`).digest("hex").slice(0, 32)
        );
    }

    function createRequest(hashes: readonly string[], excluded: readonly string[] = []): PlacementRequest {
        return { modelOrService: "large", hashes, promptTokens: 0, requestId: "1", excluded: new Set(excluded) };
    }

    function createEntry(seed = 1, dataCentre?: string) {
        const clock = createManualClock();
        const placement = createPlacement({ clock, random: createRandomSource(seed), dataCentre });
        return { clock, placement };
    }

    function getFirstId(placement: ReturnType<typeof createEntry>["placement"], request: PlacementRequest) {
        return placement.rank(request, candidates)[0]?.instanceId;
    }

    describe("rank", () => {
        it("is empty without candidates", () => {
            expect(createEntry().placement.rank(createRequest(createChain("a", 3)), [])).to.deep.equal([]);
        });

        it("gives the same answer at every entry, in whatever order candidates come", () => {
            fc.assert(
                fc.property(
                    fc.string(),
                    fc.integer({ min: 1, max: 9 }),
                    fc.shuffledSubarray(candidates, { minLength: candidates.length }),
                    fc.nat(),
                    (name, length, shuffled, seed) => {
                        const request = createRequest(createChain(name, length));
                        const here = createEntry(1).placement.rank(request, candidates);
                        const there = createEntry(seed).placement.rank(request, shuffled);
                        expect(there).to.deep.equal(here);
                    },
                ),
                { seed: 7 },
            );
        });

        it("ranks each candidate once at most, and none that is excluded", () => {
            fc.assert(
                fc.property(fc.string(), fc.subarray(candidates), (name, excluded) => {
                    const excludedIds = excluded.map(record => record.instanceId);
                    const ranked = createEntry().placement
                        .rank(createRequest(createChain(name, 5), excludedIds), candidates)
                        .map(record => record.instanceId);
                    expect(new Set(ranked).size).to.equal(ranked.length);
                    expect(ranked.some(id => excludedIds.includes(id))).to.equal(false);
                    expect(ranked.length > 0).to.equal(excluded.length < candidates.length);
                }),
                { seed: 8 },
            );
        });

        it("spreads prefixes evenly: no backend server gets 1.25 times its part of 12,000", () => {
            const { placement } = createEntry();
            const counts = new Map<string, number>();
            for (let index = 0; index < 12_000; index++) {
                const id = getFirstId(placement, createRequest(createChain(`balance-${index}`, 4)))!;
                counts.set(id, (counts.get(id) ?? 0) + 1);
            }
            expect(counts.size).to.equal(12);
            expect(Math.max(...counts.values())).to.be.lessThan(1_250);
            expect(Math.min(...counts.values())).to.be.greaterThan(750);
        });

        it("moves only the prefixes of a backend server that leaves, and only to one that joins", () => {
            fc.assert(
                fc.property(fc.string(), fc.integer({ min: 0, max: 11 }), (name, position) => {
                    const request = createRequest(createChain(name, 6));
                    const { placement } = createEntry();
                    const all = placement.rank(request, candidates);
                    const gone = candidates[position]!;
                    const left = placement.rank(request, candidates.filter(candidate => candidate !== gone));
                    if (all[0] !== gone) {
                        expect(left[0]).to.equal(all[0]);
                    }
                    else {
                        expect(left[0]).to.not.equal(gone);
                    }
                }),
                { seed: 9, numRuns: 300 },
            );
        });

        it("keeps a prompt that grows past the deciding level at its place", () => {
            const chain = createChain("growing", 9);
            const { placement } = createEntry();
            const ids = [4, 5, 7, 9].map(length => getFirstId(placement, createRequest(chain.slice(0, length))));
            expect(new Set(ids).size).to.equal(1);
        });

        it("gives all prompts that share the deciding level the same choices", () => {
            const { placement } = createEntry();
            const shared = createChain("shared", 3);
            const rankedIds = ["a", "b", "c"].map(name => {
                const request = createRequest([...shared, ...createChain(name, 4)]);
                return placement.rank(request, candidates).map(record => record.instanceId);
            });
            expect(rankedIds[1]).to.deep.equal(rankedIds[0]);
            expect(rankedIds[2]).to.deep.equal(rankedIds[0]);
        });

        it("prefers the own data centre where no prefix decides", () => {
            const mixed = candidates.map((record, index) =>
                createSidecarRecord(record.instanceId, index % 3 === 0 ? "near" : "far")
            );
            const { placement } = createEntry(3, "near");
            for (let run = 0; run < 50; run++) {
                expect(placement.rank(createRequest([]), mixed)[0]!.dataCentre).to.equal("near");
            }
        });

        it("sends requests without a prefix to less loaded backend servers", () => {
            const { placement } = createEntry();
            const two = candidates.slice(0, 2);
            const busy = two[0]!.instanceId;
            placement.addObservation({
                kind: "answered",
                instanceId: busy,
                cachedTokens: 0,
                queueMilliseconds: 500,
                hashes: [],
            });
            const ids = Array.from({ length: 100 }, () => placement.rank(createRequest([]), two)[0]!.instanceId);
            expect(ids.filter(id => id === busy).length).to.be.lessThan(45);
        });
    });

    describe("addNote", () => {
        const chain = createChain("hot", 5);

        function addRefusal(
            placement: ReturnType<typeof createEntry>["placement"],
            spread: number,
            sibling: string | undefined,
        ) {
            const instanceId = getFirstId(placement, createRequest(chain))!;
            const prefixHash = chain[2];
            placement.addObservation({
                kind: "refused",
                instanceId,
                prefixHash,
                spread,
                sibling,
                predictedWaitMilliseconds: 900,
            });
            return instanceId;
        }

        it("follows a sibling that a hint names, until the hint expires", async () => {
            const { placement, clock } = createEntry();
            const sibling = placement.rank(createRequest(chain), candidates)[2]!.instanceId;
            const first = addRefusal(placement, 1, sibling);
            expect(getFirstId(placement, createRequest(chain))).to.equal(sibling);
            await clock.advance(1_001);
            expect(getFirstId(placement, createRequest(chain))).to.equal(first);
        });

        it("spreads a hot prefix over as many as the hint says", () => {
            const { placement } = createEntry();
            addRefusal(placement, 3, undefined);
            const ids = Array.from({ length: 200 }, () => getFirstId(placement, createRequest(chain)));
            expect(new Set(ids).size).to.be.within(2, 3);
        });

        it("leaves other prefixes where they are", () => {
            const { placement } = createEntry();
            const other = createRequest(createChain("other", 5));
            const before = getFirstId(placement, other);
            addRefusal(placement, 4, undefined);
            expect(getFirstId(placement, other)).to.equal(before);
        });

        it("puts a backend server that failed last for a second", async () => {
            const { placement, clock } = createEntry();
            const first = getFirstId(placement, createRequest(chain))!;
            placement.addObservation({ kind: "failed", instanceId: first });
            expect(getFirstId(placement, createRequest(chain))).to.not.equal(first);
            await clock.advance(1_001);
            expect(getFirstId(placement, createRequest(chain))).to.equal(first);
        });
    });
});
