import { expect } from "chai";
import { RolloutState } from "../../../src/protocol";
import { createRolloutSimulation, RolloutSimulation, SimulationFaults } from "./createRolloutSimulation";

describe("createRolloutPlanner", () => {
    const noFaults: SimulationFaults = { loss: 0, delayMilliseconds: 5, repeat: 0, refusal: 0 };
    let trial: RolloutSimulation;
    let refusal: number;

    beforeEach(() => {
        refusal = 0;
        trial = createRolloutSimulation({
            seed: 1,
            replicas: { large: 8 },
            enforcesFencing: true,
            capacityFloor: 0.75,
            getFaults: () => ({ ...noFaults, refusal }),
        });
    });
    afterEach(() => trial.stop());

    function getVersions(): readonly string[] {
        return trial.replicas.map(replica => replica.engine.getVersion());
    }

    function countAt(version: string): number {
        return getVersions().filter(held => held === version).length;
    }

    /** Waits for a condition for at most ten minutes. */
    function waitFor(condition: () => boolean): Promise<boolean> {
        return trial.clock.runUntil(condition, trial.clock.getMonotonicMilliseconds() + 600_000);
    }

    function getState(): RolloutState {
        return trial.control.part.getRollout("large")!.state;
    }

    it("observes one canary before it goes on", async () => {
        trial.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 1);
        const loaded = trial.clock.getMonotonicMilliseconds();
        await waitFor(() => trial.replicas.filter(replica => replica.engine.begunOrders.length > 0).length > 1);
        expect(trial.clock.getMonotonicMilliseconds() - loaded).to.be.at.least(5_000);
        expect(await waitFor(trial.isDone)).to.equal(true);
    });

    it("leaves all others alone where the canary fails", async () => {
        refusal = 1;
        trial.setTarget("large", "v1");
        await waitFor(() => trial.control.part.getRollout("large")?.state === RolloutState.FAILED);
        refusal = 0;
        await trial.clock.runUntil(() => false, trial.clock.getMonotonicMilliseconds() + 60_000);
        expect(countAt("v0")).to.equal(8);
        trial.setState("large", RolloutState.RUNNING);
        expect(await waitFor(trial.isDone)).to.equal(true);
    });

    it("leaves all others alone where the canary's engine crashes under observation", async () => {
        trial.setTarget("large", "v1");
        await waitFor(() => trial.control.part.getOpenSteps()[0]?.isObserved ?? false);
        await trial.clock.runUntil(() => false, trial.clock.getMonotonicMilliseconds() + 2_000);
        trial.replicas.find(replica => replica.engine.getVersion() === "v1")!.crash();
        await waitFor(() => getState() === RolloutState.FAILED);
        expect(countAt("v0")).to.equal(7);
        expect(trial.control.part.getRollout("large")!.reason).to.contain("did not stay healthy");
    });

    it("takes no step while paused, and goes on when resumed", async () => {
        trial.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 3);
        trial.setState("large", RolloutState.PAUSED);
        await waitFor(() => trial.control.part.getOpenSteps().length === 0);
        const held = countAt("v1");
        await trial.clock.runUntil(() => false, trial.clock.getMonotonicMilliseconds() + 60_000);
        expect(countAt("v1")).to.equal(held);
        trial.setState("large", RolloutState.RUNNING);
        expect(await waitFor(trial.isDone)).to.equal(true);
    });

    it("goes on under a new leader from the committed steps", async () => {
        trial.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 4);
        trial.changeLeader(true);
        expect(await waitFor(trial.isDone)).to.equal(true);
        expect(trial.replicas.every(replica => replica.engine.begunOrders.length === 1)).to.equal(true);
        expect(trial.getMaximumConcurrentLoads()).to.equal(2);
    });

    it("rolls back by a new change", async () => {
        trial.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 4);
        trial.setTarget("large", "v0");
        expect(await waitFor(trial.isDone)).to.equal(true);
        expect(countAt("v0")).to.equal(8);
    });

    it("loads an engine that came back empty, also after the rollout's end", async () => {
        trial.setTarget("large", "v1");
        await waitFor(trial.isDone);
        trial.replicas[3]!.crash();
        await waitFor(() => countAt("v1") === 7);
        expect(await waitFor(trial.isDone)).to.equal(true);
    });

    it("gives way to what the floor leaves, and counts less once instances stay away", async () => {
        trial.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 2);
        [5, 6, 7].forEach(number => trial.replicas[number]!.remove());
        expect(await waitFor(trial.isDone)).to.equal(true);
        expect(trial.violations).to.deep.equal([]);
    });
});
