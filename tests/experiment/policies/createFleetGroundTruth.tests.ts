import { expect } from "chai";
import { createFleetGroundTruth } from "../../../src/experiment";
import { PlacementRequest } from "../../../src/routing";

function createRequest(requestId: string, hashes: readonly string[], promptTokens = 350): PlacementRequest {
    return { modelOrService: "large", hashes, promptTokens, requestId, excluded: new Set() };
}

describe("createFleetTruth", () => {
    it("counts as wasted what another engine held", () => {
        const truth = createFleetGroundTruth(100);
        truth.recordComputed("one", "first", ["a"], 100);
        truth.recordStored("one", "a");
        expect(truth.getWastedTokens()).to.equal(0);
        truth.recordComputed("two", "second", ["a", "b"], 250);
        expect(truth.getWastedTokens()).to.equal(100);
        expect(truth.getComputedTokens()).to.equal(350);
    });

    it("does not count what was evicted or lost in a crash", () => {
        const truth = createFleetGroundTruth(100);
        truth.recordStored("one", "a");
        truth.recordStored("one", "b");
        truth.recordRemoved("one", "a");
        truth.recordComputed("two", "first", ["a"], 100);
        expect(truth.getWastedTokens()).to.equal(0);
        truth.recordCleared("one");
        truth.recordComputed("two", "first", ["b"], 100);
        expect(truth.getWastedTokens()).to.equal(0);
    });

    it("sees what an engine holds and what it is about to compute", () => {
        const truth = createFleetGroundTruth(100);
        truth.recordStored("one", "a");
        expect(truth.countCachedBlocks("one", ["a", "b", "c"])).to.equal(1);
        truth.addAssignment("one", createRequest("first", ["a", "b"]));
        expect(truth.countCachedBlocks("one", ["a", "b", "c"])).to.equal(2);
        expect(truth.countCachedBlocks("two", ["a", "b", "c"])).to.equal(0);
    });

    it("counts what is still to compute, without long prefills where they let short ones go first", () => {
        const truth = createFleetGroundTruth(100);
        truth.addAssignment("one", createRequest("first", ["a"], 10_000));
        truth.addAssignment("one", createRequest("second", ["a"]));
        expect(truth.getPendingTokens("one")).to.equal(10_250);
        expect(truth.getPendingTokens("one", true)).to.equal(250);
        truth.recordComputed("one", "first", ["a"], 100);
        expect(truth.getPendingTokens("one")).to.equal(10_150);
        truth.recordPrefilled("one", "first");
        expect(truth.getPendingTokens("one")).to.equal(250);
        expect(truth.getPendingRequests("one")).to.equal(1);
    });
});
