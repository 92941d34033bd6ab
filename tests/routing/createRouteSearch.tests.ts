import { expect } from "chai";
import fc from "fast-check";
import { createRouteSearch, Placement, RouteSearch } from "../../src/routing";
import { createSidecarRecord } from "../support/createSidecarRecord";

describe("createRouteSearch", () => {
    const candidates = [..."abcdefgh"].map(id => createSidecarRecord(id));
    const placement: Placement = {
        rank: (request, records) => records.filter(record => !request.excluded.has(record.instanceId)),
        addObservation: () => {},
    };

    function createSearch(records = candidates, mayRedirect = true): RouteSearch {
        const request = {
            modelOrService: "large",
            hashes: ["1"],
            promptTokens: 1,
            requestId: "",
            excluded: new Set<string>(),
        };
        return createRouteSearch({ placement, request, candidates: records, mayRedirect });
    }

    /** Runs a search over sidecars with fixed costs; returns the ids in the order asked, and the one that accepted. */
    function doSearch(costs: readonly number[], replicaCount = 1): { asked: string; accepted: string | undefined; } {
        const search = createSearch(candidates.slice(0, costs.length));
        let asked = "";
        for (let step = search.getNext(); step !== undefined; step = search.getNext()) {
            const { instanceId } = step.sidecar;
            const cost = costs["abcdefgh".indexOf(instanceId)]!;
            asked += instanceId;
            if (!step.mayRedirect || cost <= (step.acceptBelowMilliseconds ?? 100)) {
                return { asked, accepted: instanceId };
            }
            search.addEstimate(instanceId, { costMilliseconds: cost, replicaCount });
        }
        return { asked, accepted: undefined };
    }

    describe("getNext", () => {
        function doTest(costs: number[], expectedAsked: string, expectedAccepted: string, replicaCount?: number): void {
            expect(doSearch(costs, replicaCount)).to.deep.equal({ asked: expectedAsked, accepted: expectedAccepted });
        }

        it("selects the first choice where its cost is low", () => doTest([90, 10, 10], "a", "a"));
        it("continues to a choice with a low cost", () => doTest([900, 30, 10], "ab", "b"));
        it("does not stop at a choice that is only somewhat cheaper", () => doTest([900, 800, 30, 40], "abc", "c"));
        it("returns to the cheapest choice where none has a low cost", () =>
            doTest([900, 400, 800, 700, 10], "abcdb", "b"));
        it("selects the first choice where others are cheaper by less than the margin", () =>
            doTest([900, 890, 885, 900], "abcda", "a"));
        it("asks fewer choices where the lowest cost is small", () => doTest([130, 500, 500, 500], "abca", "a"));
        it("asks more choices where the prefix should have more replicas", () =>
            doTest([900, 900, 900, 900, 900, 20], "abcdef", "f", 6));
        it("doesn't let the only sidecar redirect", () => doTest([9_000], "a", "a"));
    });

    it("continues to the next choice without permission to redirect where the options give none", () => {
        const search = createSearch(candidates, false);
        expect(search.getNext()?.mayRedirect).to.equal(false);
        search.exclude("a");
        expect(search.getNext()?.sidecar.instanceId).to.equal("b");
    });

    it("ends when every sidecar is excluded", () => {
        const search = createSearch();
        candidates.forEach(({ instanceId }) => search.exclude(instanceId));
        expect(search.getNext()).to.equal(undefined);
    });

    it("always ends with an acceptance, at a cost within the margin of the lowest estimate", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 0, max: 5_000 }), { minLength: 1, maxLength: 8 }), costs => {
                const { asked, accepted } = doSearch(costs);
                const cost = costs["abcdefgh".indexOf(accepted!)]!;
                const lowest = Math.min(...[...asked].map(id => costs["abcdefgh".indexOf(id)]!));
                expect(cost).to.be.at.most(Math.max(100, lowest + 20));
                expect(asked.length).to.be.at.most(5);
            }),
            { seed: 31 },
        );
    });
});
