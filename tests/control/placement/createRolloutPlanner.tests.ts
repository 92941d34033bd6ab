import { expect } from "chai";
import { RolloutState } from "../../../src/protocol";
import { createRolloutSimulation, RolloutSimulation, SimulationFaults } from "./createRolloutSimulation";

describe("createRolloutPlanner", () => {
    const noFaults: SimulationFaults = { loss: 0, delayMilliseconds: 5, repeat: 0, refusal: 0 };
    let simulation: RolloutSimulation;
    let refusal: number;

    beforeEach(() => {
        refusal = 0;
        simulation = createRolloutSimulation({
            seed: 1,
            replicas: { large: 8 },
            enforcesFencing: true,
            capacityFloor: 0.75,
            getFaults: () => ({ ...noFaults, refusal }),
        });
    });
    afterEach(() => simulation.stop());

    function getVersions(): readonly string[] {
        return simulation.replicas.map(replica => replica.engine.getVersion());
    }

    function countAt(version: string): number {
        return getVersions().filter(each => each === version).length;
    }

    /** Waits for a condition, for at most ten minutes of simulated time. */
    function waitFor(condition: () => boolean): Promise<boolean> {
        return simulation.clock.runUntil(condition, simulation.clock.getMonotonicMilliseconds() + 600_000);
    }

    function getState(): RolloutState {
        return simulation.control.part.getRollout("large")!.state;
    }

    it("observes one canary before it opens further steps", async () => {
        simulation.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 1);
        const loadedMilliseconds = simulation.clock.getMonotonicMilliseconds();
        await waitFor(() => simulation.replicas.filter(replica => replica.engine.begunOrders.length > 0).length > 1);
        expect(simulation.clock.getMonotonicMilliseconds() - loadedMilliseconds).to.be.at.least(5_000);
        expect(await waitFor(simulation.isDone)).to.equal(true);
    });

    it("orders nothing of the others where the canary fails", async () => {
        refusal = 1;
        simulation.setTarget("large", "v1");
        await waitFor(() => simulation.control.part.getRollout("large")?.state === RolloutState.FAILED);
        refusal = 0;
        await simulation.clock.runUntil(() => false, simulation.clock.getMonotonicMilliseconds() + 60_000);
        expect(countAt("v0")).to.equal(8);
        simulation.setState("large", RolloutState.RUNNING);
        expect(await waitFor(simulation.isDone)).to.equal(true);
    });

    it("orders nothing of the others where the engine of the canary crashes under observation", async () => {
        simulation.setTarget("large", "v1");
        await waitFor(() => simulation.control.part.getOpenSteps()[0]?.isObserved ?? false);
        await simulation.clock.runUntil(() => false, simulation.clock.getMonotonicMilliseconds() + 2_000);
        simulation.replicas.find(replica => replica.engine.getVersion() === "v1")!.crash();
        await waitFor(() => getState() === RolloutState.FAILED);
        expect(countAt("v0")).to.equal(7);
        expect(simulation.control.part.getRollout("large")!.reason).to.contain("did not stay healthy");
    });

    it("opens no step while paused, and continues when resumed", async () => {
        simulation.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 3);
        simulation.setState("large", RolloutState.PAUSED);
        await waitFor(() => simulation.control.part.getOpenSteps().length === 0);
        const count = countAt("v1");
        await simulation.clock.runUntil(() => false, simulation.clock.getMonotonicMilliseconds() + 60_000);
        expect(countAt("v1")).to.equal(count);
        simulation.setState("large", RolloutState.RUNNING);
        expect(await waitFor(simulation.isDone)).to.equal(true);
    });

    it("continues under a new leader from the committed steps", async () => {
        simulation.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 4);
        simulation.changeLeader(true);
        expect(await waitFor(simulation.isDone)).to.equal(true);
        expect(simulation.replicas.every(replica => replica.engine.begunOrders.length === 1)).to.equal(true);
        expect(simulation.getMaximumConcurrentLoads()).to.equal(2);
    });

    it("rolls back to a target that is set again", async () => {
        simulation.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 4);
        simulation.setTarget("large", "v0");
        expect(await waitFor(simulation.isDone)).to.equal(true);
        expect(countAt("v0")).to.equal(8);
    });

    it("loads an engine that restarted without weights, even after the rollout is done", async () => {
        simulation.setTarget("large", "v1");
        await waitFor(simulation.isDone);
        simulation.replicas[3]!.crash();
        await waitFor(() => countAt("v1") === 7);
        expect(await waitFor(simulation.isDone)).to.equal(true);
    });

    it("keeps the capacity floor when instances are removed, and reduces the size once they stay away", async () => {
        simulation.setTarget("large", "v1");
        await waitFor(() => countAt("v1") === 2);
        [5, 6, 7].forEach(number => simulation.replicas[number]!.remove());
        expect(await waitFor(simulation.isDone)).to.equal(true);
        expect(simulation.violations).to.deep.equal([]);
    });
});
