import { expect } from "chai";
import { createFleetGroundTruth } from "../../../src/experiment";
import { PlacementRequest } from "../../../src/routing";

function createRequest(requestId: string, hashes: readonly string[], promptTokens = 350): PlacementRequest {
    return { modelOrService: "large", hashes, promptTokens, requestId, excluded: new Set() };
}

describe("createFleetGroundTruth", () => {
    it("counts computed blocks that another engine held as wasted", () => {
        const groundTruth = createFleetGroundTruth(100);
        groundTruth.recordComputed("one", "first", ["a"], 100);
        groundTruth.recordStored("one", "a");
        expect(groundTruth.getWastedTokens()).to.equal(0);
        groundTruth.recordComputed("two", "second", ["a", "b"], 250);
        expect(groundTruth.getWastedTokens()).to.equal(100);
        expect(groundTruth.getComputedTokens()).to.equal(350);
    });

    it("does not count blocks that were evicted or lost in a crash as wasted", () => {
        const groundTruth = createFleetGroundTruth(100);
        groundTruth.recordStored("one", "a");
        groundTruth.recordStored("one", "b");
        groundTruth.recordRemoved("one", "a");
        groundTruth.recordComputed("two", "first", ["a"], 100);
        expect(groundTruth.getWastedTokens()).to.equal(0);
        groundTruth.recordCleared("one");
        groundTruth.recordComputed("two", "first", ["b"], 100);
        expect(groundTruth.getWastedTokens()).to.equal(0);
    });

    it("counts the blocks that an engine holds and those that it is about to compute", () => {
        const groundTruth = createFleetGroundTruth(100);
        groundTruth.recordStored("one", "a");
        expect(groundTruth.countCachedBlocks("one", ["a", "b", "c"])).to.equal(1);
        groundTruth.addAssignment("one", createRequest("first", ["a", "b"]));
        expect(groundTruth.countCachedBlocks("one", ["a", "b", "c"])).to.equal(2);
        expect(groundTruth.countCachedBlocks("two", ["a", "b", "c"])).to.equal(0);
    });

    it("counts pending tokens, on demand without long prefills", () => {
        const groundTruth = createFleetGroundTruth(100);
        groundTruth.addAssignment("one", createRequest("first", ["a"], 10_000));
        groundTruth.addAssignment("one", createRequest("second", ["a"]));
        expect(groundTruth.getPendingTokens("one")).to.equal(10_250);
        expect(groundTruth.getPendingTokens("one", true)).to.equal(250);
        groundTruth.recordComputed("one", "first", ["a"], 100);
        expect(groundTruth.getPendingTokens("one")).to.equal(10_150);
        groundTruth.recordPrefilled("one", "first");
        expect(groundTruth.getPendingTokens("one")).to.equal(250);
        expect(groundTruth.getPendingRequests("one")).to.equal(1);
    });
});
