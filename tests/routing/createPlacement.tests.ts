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

    function createFixture(seed = 1, dataCentre?: string) {
        const clock = createManualClock();
        const placement = createPlacement({ clock, random: createRandomSource(seed), dataCentre });
        return { clock, placement };
    }

    function getFirstId(placement: ReturnType<typeof createFixture>["placement"], request: PlacementRequest) {
        return placement.rank(request, candidates)[0]?.instanceId;
    }

    describe("rank", () => {
        it("returns nothing without candidates", () => {
            expect(createFixture().placement.rank(createRequest(createChain("a", 3)), [])).to.deep.equal([]);
        });

        it("returns the same ranking in every entry process, for any order of the candidates", () => {
            fc.assert(
                fc.property(
                    fc.string(),
                    fc.integer({ min: 1, max: 9 }),
                    fc.shuffledSubarray(candidates, { minLength: candidates.length }),
                    fc.nat(),
                    (name, length, shuffled, seed) => {
                        const request = createRequest(createChain(name, length));
                        const expected = createFixture(1).placement.rank(request, candidates);
                        const ranked = createFixture(seed).placement.rank(request, shuffled);
                        expect(ranked).to.deep.equal(expected);
                    },
                ),
                { seed: 7 },
            );
        });

        it("ranks each candidate at most once, and no excluded candidate", () => {
            fc.assert(
                fc.property(fc.string(), fc.subarray(candidates), (name, excluded) => {
                    const excludedIds = excluded.map(record => record.instanceId);
                    const ranked = createFixture().placement
                        .rank(createRequest(createChain(name, 5), excludedIds), candidates)
                        .map(record => record.instanceId);
                    expect(new Set(ranked).size).to.equal(ranked.length);
                    expect(ranked.some(id => excludedIds.includes(id))).to.equal(false);
                    expect(ranked.length > 0).to.equal(excluded.length < candidates.length);
                }),
                { seed: 8 },
            );
        });

        it("distributes prefixes evenly: no backend server gets 1.25 times its share of 12,000", () => {
            const { placement } = createFixture();
            const counts = new Map<string, number>();
            for (let index = 0; index < 12_000; index++) {
                const id = getFirstId(placement, createRequest(createChain(`balance-${index}`, 4)))!;
                counts.set(id, (counts.get(id) ?? 0) + 1);
            }
            expect(counts.size).to.equal(12);
            expect(Math.max(...counts.values())).to.be.lessThan(1_250);
            expect(Math.min(...counts.values())).to.be.greaterThan(750);
        });

        it("moves only the prefixes of a backend server that is removed, and only to one that is added", () => {
            fc.assert(
                fc.property(fc.string(), fc.integer({ min: 0, max: 11 }), (name, position) => {
                    const request = createRequest(createChain(name, 6));
                    const { placement } = createFixture();
                    const all = placement.rank(request, candidates);
                    const removed = candidates[position]!;
                    const remaining = placement.rank(request, candidates.filter(candidate => candidate !== removed));
                    if (all[0] !== removed) {
                        expect(remaining[0]).to.equal(all[0]);
                    }
                    else {
                        expect(remaining[0]).to.not.equal(removed);
                    }
                }),
                { seed: 9, numRuns: 300 },
            );
        });

        it("keeps the first choice of a prompt that grows beyond the placement key's blocks", () => {
            const chain = createChain("growing", 9);
            const { placement } = createFixture();
            const ids = [4, 5, 7, 9].map(length => getFirstId(placement, createRequest(chain.slice(0, length))));
            expect(new Set(ids).size).to.equal(1);
        });

        it("returns the same choices for all prompts with the same placement key", () => {
            const { placement } = createFixture();
            const shared = createChain("shared", 3);
            const rankedIds = ["a", "b", "c"].map(name => {
                const request = createRequest([...shared, ...createChain(name, 4)]);
                return placement.rank(request, candidates).map(record => record.instanceId);
            });
            expect(rankedIds[1]).to.deep.equal(rankedIds[0]);
            expect(rankedIds[2]).to.deep.equal(rankedIds[0]);
        });

        it("prefers the entry process's data centre for requests without a prefix", () => {
            const mixed = candidates.map((record, index) =>
                createSidecarRecord(record.instanceId, index % 3 === 0 ? "near" : "far")
            );
            const { placement } = createFixture(3, "near");
            for (let run = 0; run < 50; run++) {
                expect(placement.rank(createRequest([]), mixed)[0]!.dataCentre).to.equal("near");
            }
        });

        it("prefers less loaded backend servers for requests without a prefix", () => {
            const { placement } = createFixture();
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

    describe("addObservation", () => {
        const chain = createChain("hot", 5);

        function observeRefusal(
            placement: ReturnType<typeof createFixture>["placement"],
            replicaCount: number,
            sibling: string | undefined,
        ) {
            const instanceId = getFirstId(placement, createRequest(chain))!;
            const prefixHash = chain[2];
            placement.addObservation({
                kind: "refused",
                instanceId,
                prefixHash,
                replicaCount,
                sibling,
                predictedWaitMilliseconds: 900,
            });
            return instanceId;
        }

        it("prefers the sibling that a hint names until the hint expires", async () => {
            const { placement, clock } = createFixture();
            const sibling = placement.rank(createRequest(chain), candidates)[2]!.instanceId;
            const first = observeRefusal(placement, 1, sibling);
            expect(getFirstId(placement, createRequest(chain))).to.equal(sibling);
            await clock.advance(1_001);
            expect(getFirstId(placement, createRequest(chain))).to.equal(first);
        });

        it("distributes a hot prefix over the number of replicas in the hint", () => {
            const { placement } = createFixture();
            observeRefusal(placement, 3, undefined);
            const ids = Array.from({ length: 200 }, () => getFirstId(placement, createRequest(chain)));
            expect(new Set(ids).size).to.be.within(2, 3);
        });

        it("keeps the first choice of other prefixes", () => {
            const { placement } = createFixture();
            const other = createRequest(createChain("other", 5));
            const before = getFirstId(placement, other);
            observeRefusal(placement, 4, undefined);
            expect(getFirstId(placement, other)).to.equal(before);
        });

        it("ranks a backend server that failed last for one second", async () => {
            const { placement, clock } = createFixture();
            const first = getFirstId(placement, createRequest(chain))!;
            placement.addObservation({ kind: "failed", instanceId: first });
            expect(getFirstId(placement, createRequest(chain))).to.not.equal(first);
            await clock.advance(1_001);
            expect(getFirstId(placement, createRequest(chain))).to.equal(first);
        });
    });
});
