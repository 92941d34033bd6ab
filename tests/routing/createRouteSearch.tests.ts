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

    /** Runs a search against companions of fixed costs; gets whom it asked and who took the request. */
    function doSearch(costs: readonly number[], spread = 1): { asked: string; taken: string | undefined; } {
        const search = createSearch(candidates.slice(0, costs.length));
        let asked = "";
        for (let step = search.getNext(); step !== undefined; step = search.getNext()) {
            const { instanceId } = step.sidecar;
            const cost = costs["abcdefgh".indexOf(instanceId)]!;
            asked += instanceId;
            if (!step.mayRedirect || cost <= (step.acceptBelowMilliseconds ?? 100)) {
                return { asked, taken: instanceId };
            }
            search.addEstimate(instanceId, { costMilliseconds: cost, replicaCount: spread });
        }
        return { asked, taken: undefined };
    }

    describe("getNext", () => {
        function doTest(costs: number[], expectedAsked: string, expectedTaken: string, spread?: number): void {
            expect(doSearch(costs, spread)).to.deep.equal({ asked: expectedAsked, taken: expectedTaken });
        }

        it("stays with the first choice where its cost is low", () => doTest([90, 10, 10], "a", "a"));
        it("goes on to a choice with a low cost", () => doTest([900, 30, 10], "ab", "b"));
        it("does not stop at a choice that is only somewhat cheaper", () => doTest([900, 800, 30, 40], "abc", "c"));
        it("returns to the cheapest where none is cheap", () => doTest([900, 400, 800, 700, 10], "abcdb", "b"));
        it("stays with the first where others are cheaper by less than a margin", () =>
            doTest([900, 890, 885, 900], "abcda", "a"));
        it("asks fewer where there is little to gain", () => doTest([130, 500, 500, 500], "abca", "a"));
        it("asks more where the prefix should be spread wider", () =>
            doTest([900, 900, 900, 900, 900, 20], "abcdef", "f", 6));
        it("leaves no choice to a single companion", () => doTest([9_000], "a", "a"));
    });

    it("goes to the next choice without leave to redirect where none is given", () => {
        const search = createSearch(candidates, false);
        expect(search.getNext()?.mayRedirect).to.equal(false);
        search.exclude("a");
        expect(search.getNext()?.sidecar.instanceId).to.equal("b");
    });

    it("ends once every companion is excluded", () => {
        const search = createSearch();
        candidates.forEach(({ instanceId }) => search.exclude(instanceId));
        expect(search.getNext()).to.equal(undefined);
    });

    it("always ends with the request taken, at a cost within the margin of the lowest quoted", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 0, max: 5_000 }), { minLength: 1, maxLength: 8 }), costs => {
                const { asked, taken } = doSearch(costs);
                const cost = costs["abcdefgh".indexOf(taken!)]!;
                const lowest = Math.min(...[...asked].map(id => costs["abcdefgh".indexOf(id)]!));
                expect(cost).to.be.at.most(Math.max(100, lowest + 20));
                expect(asked.length).to.be.at.most(5);
            }),
            { seed: 31 },
        );
    });
});
