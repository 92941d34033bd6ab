import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    createFleetGroundTruth,
    createHashPlacement,
    createLeastLoadedPlacement,
    createOraclePlacement,
    createRoundRobinPlacement,
} from "../../../src/experiment";
import { ProcessRecordSchema } from "../../../src/protocol";
import { Placement, PlacementRequest } from "../../../src/routing";

const candidates = ["one", "two", "three"].map(instanceId => create(ProcessRecordSchema, { instanceId }));

function createRequest(requestId: string, hashes: readonly string[]): PlacementRequest {
    return {
        modelOrService: "large",
        hashes,
        promptTokens: hashes.length * 100,
        requestId,
        excluded: new Set(),
    };
}

function getFirst(placement: Placement, request: PlacementRequest): string {
    return placement.rank(request, candidates)[0]!.instanceId;
}

describe("createRoundRobinPlacement", () => {
    it("chooses the engines in turn", () => {
        const placement = createRoundRobinPlacement();
        const chosen = ["a", "b", "c"].map(key => getFirst(placement, createRequest(key, [])));
        expect(new Set(chosen).size).to.equal(3);
    });
});

describe("createHashPlacement", () => {
    it("sends prompts with the same first three blocks to the same engine from every entry", () => {
        const requests = ["d", "e"].map(last => createRequest(last, ["a", "b", "c", last]));
        const chosen = requests.map(request => getFirst(createHashPlacement(), request));
        expect(chosen[0]).to.equal(chosen[1]);
    });
});

describe("createLeastLoadedPlacement", () => {
    it("chooses the engines with the fewest pending tokens, whatever is cached", () => {
        const groundTruth = createFleetGroundTruth(100);
        const placement = createLeastLoadedPlacement(groundTruth);
        ["a", "b"].forEach(hash => groundTruth.recordStored("one", hash));
        groundTruth.addAssignment("one", createRequest("first", ["a", "b", "c"]));
        const chosen = [1, 2].map(number => getFirst(placement, createRequest(`${number}`, ["a", "b"])));
        expect(chosen).to.have.members(["two", "three"]);
    });
});

describe("createOraclePlacement", () => {
    it("chooses the engine with the cached prefix unless its wait exceeds the recomputation", () => {
        const groundTruth = createFleetGroundTruth(100);
        const placement = createOraclePlacement(groundTruth, 100);
        ["a", "b"].forEach(hash => groundTruth.recordStored("two", hash));
        expect(getFirst(placement, createRequest("first", ["a", "b"]))).to.equal("two");
        groundTruth.addAssignment("two", createRequest("long", ["x", "y", "z"]));
        expect(getFirst(placement, createRequest("second", ["a", "b"]))).to.not.equal("two");
    });
});
