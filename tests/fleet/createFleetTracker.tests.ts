import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFleetTracker } from "../../src/fleet";
import { FleetInstance, LoadedWeightsSchema } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("createFleetBoard", () => {
    function createTrial(term = 1n) {
        let changeCount = 0;
        const board = createFleetTracker(
            { getNamedWeights: () => [], addListener: () => () => undefined },
            createManualClock(),
            () => changeCount += 1,
        );
        board.reset(term);
        return { board, getChangeCount: () => changeCount };
    }

    const getFirst = (instances: readonly FleetInstance[]) => instances[0]!;
    const getVersions = (instances: readonly FleetInstance[]) =>
        getFirst(instances).weights.map(weights => weights.weightsVersion);

    it("has no view before the first list", () => {
        const { board } = createTrial();
        expect([board.getRevision(), board.getInstances()]).to.deep.equal(["", []]);
    });

    it("counts a revision for changes alone", () => {
        const { board, getChangeCount } = createTrial();
        board.setInstances([createTestInstance()]);
        const revision = board.getRevision();
        board.setInstances([createTestInstance()]);
        expect([board.getRevision(), getChangeCount()]).to.deep.equal([revision, 1]);
        board.setInstances([createTestInstance({ isLeaving: true })]);
        expect(board.getRevision()).to.not.equal(revision);
    });

    it("gives revisions that no other leader gives", () => {
        const first = createTrial(1n).board;
        const second = createTrial(2n).board;
        [first, second].forEach(board => board.setInstances([createTestInstance()]));
        expect(first.getRevision()).to.not.equal(second.getRevision());
    });

    it("keeps an instance that was seen to be leaving so, until it is off the list", () => {
        const { board } = createTrial();
        board.setInstances([createTestInstance({ isLeaving: true })]);
        board.setInstances([createTestInstance()]);
        expect(getFirst(board.getInstances()).isLeaving).to.equal(true);
        board.setInstances([]);
        board.setInstances([createTestInstance()]);
        expect(getFirst(board.getInstances()).isLeaving).to.equal(false);
    });

    it("takes an engine's own word for newer weights than the list's", () => {
        const { board } = createTrial();
        board.setInstances([createTestInstance()]);
        board.recordWeights("engine-1", [create(LoadedWeightsSchema, { model: "large", weightsVersion: 3 })]);
        expect(getVersions(board.getInstances())).to.deep.equal([3]);
        board.setInstances([createTestInstance()]);
        expect(getVersions(board.getInstances())).to.deep.equal([3]);
    });

    it("shows which engines load", () => {
        const { board } = createTrial();
        board.setInstances([createTestInstance()]);
        board.setLoading("engine-1", true);
        expect(getFirst(board.getInstances()).isLoading).to.equal(true);
        board.setLoading("engine-1", false);
        expect(getFirst(board.getInstances()).isLoading).to.equal(false);
    });

    it("keeps nothing of a former term", () => {
        const { board } = createTrial();
        board.setInstances([createTestInstance()]);
        board.reset(2n);
        expect([board.getRevision(), board.getInstances()]).to.deep.equal(["", []]);
    });
});
