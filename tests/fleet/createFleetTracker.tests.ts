import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFleetTracker } from "../../src/fleet";
import { FleetInstance, LoadedWeightsSchema } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("createFleetTracker", () => {
    function createFixture(term = 1n) {
        let changeCount = 0;
        const clock = createManualClock();
        const tracker = createFleetTracker(
            { getNamedWeights: () => [], getQuarantinedSubjects: () => [], addListener: () => () => undefined },
            clock,
            () => changeCount += 1,
        );
        tracker.reset(term);
        return { tracker, clock, getChangeCount: () => changeCount };
    }

    const getFirst = (instances: readonly FleetInstance[]) => instances[0]!;
    const getVersions = (instances: readonly FleetInstance[]) =>
        getFirst(instances).weights.map(weights => weights.weightsVersion);

    it("has no view before the first list", () => {
        const { tracker } = createFixture();
        expect([tracker.getRevision(), tracker.getInstances()]).to.deep.equal(["", []]);
    });

    it("starts a new revision only if the view changes", () => {
        const { tracker, getChangeCount } = createFixture();
        tracker.setInstances([createTestInstance()]);
        const revision = tracker.getRevision();
        tracker.setInstances([createTestInstance()]);
        expect([tracker.getRevision(), getChangeCount()]).to.deep.equal([revision, 1]);
        tracker.setInstances([createTestInstance({ isLeaving: true })]);
        expect(tracker.getRevision()).to.not.equal(revision);
    });

    it("starts a new revision if the suspected parts of prompts change", () => {
        const { tracker } = createFixture();
        tracker.setInstances([createTestInstance()]);
        const revision = tracker.getRevision();
        tracker.setSuspectedSubjects(["b", "a"]);
        expect([tracker.getView().suspectedSubjects, tracker.getRevision() === revision])
            .to.deep.equal([["a", "b"], false]);
    });

    it("creates different revisions under different terms", () => {
        const first = createFixture(1n).tracker;
        const second = createFixture(2n).tracker;
        [first, second].forEach(tracker => tracker.setInstances([createTestInstance()]));
        expect(first.getRevision()).to.not.equal(second.getRevision());
    });

    it("keeps a leaving instance marked until the list no longer contains it", () => {
        const { tracker } = createFixture();
        tracker.setInstances([createTestInstance({ isLeaving: true })]);
        tracker.setInstances([createTestInstance()]);
        expect(getFirst(tracker.getInstances()).isLeaving).to.equal(true);
        tracker.setInstances([]);
        tracker.setInstances([createTestInstance()]);
        expect(getFirst(tracker.getInstances()).isLeaving).to.equal(false);
    });

    describe("a backend server that starts again under its id, so that it was never used again", () => {
        const startAgain = (changes = {}) => createTestInstance({ startMilliseconds: 2_000, ...changes });

        function createLeavingFixture() {
            const { tracker } = createFixture();
            tracker.setInstances([createTestInstance({ startMilliseconds: 1_000, isLeaving: true })]);
            return tracker;
        }

        it("is no longer leaving", () => {
            const tracker = createLeavingFixture();
            tracker.setInstances([startAgain()]);
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(false);
        });
        it("is no longer terminated", () => {
            const { tracker } = createFixture();
            tracker.setInstances([createTestInstance({ startMilliseconds: 1_000 })]);
            tracker.recordTermination(createTestInstance({ startMilliseconds: 1_000 }));
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(true);
            tracker.setInstances([startAgain()]);
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(false);
        });
        it("is leaving once it leaves again", () => {
            const tracker = createLeavingFixture();
            tracker.setInstances([startAgain()]);
            tracker.setInstances([startAgain({ isLeaving: true })]);
            tracker.setInstances([startAgain()]);
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(true);
        });
        for (const name of ["before", "behind"]) {
            it(`is not leaving while the entry of its former start remains ${name} it, which is`, () => {
                const tracker = createLeavingFixture();
                const former = createTestInstance({ startMilliseconds: 1_000, isLeaving: true });
                tracker.setInstances(name === "before" ? [former, startAgain()] : [startAgain(), former]);
                expect(tracker.getInstances().map(({ startMilliseconds, isLeaving }) => [startMilliseconds, isLeaving]))
                    .to.have.deep.members([[1_000, true], [2_000, false]]);
            });
        }
        it("is leaving by an entry with an earlier start, as after its clock was set back", () => {
            const { tracker } = createFixture();
            tracker.setInstances([startAgain()]);
            tracker.setInstances([createTestInstance({ startMilliseconds: 1_000, isLeaving: true })]);
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(true);
        });
        it("is leaving where only its later entries tell a start", () => {
            const { tracker } = createFixture();
            tracker.setInstances([createTestInstance({ isLeaving: true })]);
            tracker.setInstances([startAgain()]);
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(true);
        });
        it("is not terminated by a late response to its former start", () => {
            const { tracker } = createFixture();
            tracker.setInstances([startAgain()]);
            tracker.recordTermination(createTestInstance({ startMilliseconds: 1_000 }));
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(false);
        });
        it("is leaving where its entry no longer tells its start", () => {
            const tracker = createLeavingFixture();
            tracker.setInstances([startAgain()]);
            tracker.setInstances([createTestInstance({ isLeaving: true })]);
            expect(getFirst(tracker.getInstances()).isLeaving).to.equal(true);
        });
        it("has the weights of the list, not those that it reported before", () => {
            const { tracker } = createFixture();
            tracker.setInstances([createTestInstance({ startMilliseconds: 1_000 })]);
            tracker.recordWeights("engine-1", [create(LoadedWeightsSchema, { model: "large", weightsVersion: 3 })]);
            tracker.setInstances([startAgain()]);
            expect(getVersions(tracker.getInstances())).to.deep.equal([1]);
        });
    });

    it("names the software versions that left a short time ago", async () => {
        const { tracker, clock } = createFixture();
        tracker.setInstances([createTestInstance({ softwareVersion: "v1" })]);
        const revision = tracker.getRevision();
        tracker.setInstances([createTestInstance({ softwareVersion: "v2" })]);
        const getFormer = () => tracker.getView().formerVersions.map(version => version.softwareVersion);
        expect([getFormer(), tracker.getRevision() === revision]).to.deep.equal([["v1"], false]);
        await clock.advance(30_000);
        tracker.setInstances([createTestInstance({ softwareVersion: "v2" })]);
        expect(getFormer()).to.deep.equal([]);
    });

    it("prefers an engine's own report of newer weights to the list", () => {
        const { tracker } = createFixture();
        tracker.setInstances([createTestInstance()]);
        tracker.recordWeights("engine-1", [create(LoadedWeightsSchema, { model: "large", weightsVersion: 3 })]);
        expect(getVersions(tracker.getInstances())).to.deep.equal([3]);
        tracker.setInstances([createTestInstance()]);
        expect(getVersions(tracker.getInstances())).to.deep.equal([3]);
    });

    it("shows which engines are loading", () => {
        const { tracker } = createFixture();
        tracker.setInstances([createTestInstance()]);
        tracker.setLoading("engine-1", true);
        expect(getFirst(tracker.getInstances()).isLoading).to.equal(true);
        tracker.setLoading("engine-1", false);
        expect(getFirst(tracker.getInstances()).isLoading).to.equal(false);
    });

    it("has no view after a reset for a new term", () => {
        const { tracker } = createFixture();
        tracker.setInstances([createTestInstance()]);
        tracker.reset(2n);
        expect([tracker.getRevision(), tracker.getInstances()]).to.deep.equal(["", []]);
    });
});
