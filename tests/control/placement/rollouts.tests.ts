import { expect } from "chai";
import fc from "fast-check";
import { RolloutState } from "../../../src/protocol";
import { createRolloutSimulation, RolloutSimulation, SimulationFaults } from "./createRolloutSimulation";

const noFaults: SimulationFaults = { loss: 0, delayMilliseconds: 5, repeat: 0, refusal: 0 };
const faultsEndMilliseconds = 60_000;
const endMilliseconds = 1_800_000;

/** An event of a scenario. */
type Action =
    | { kind: "changeLeader"; keepsPreviousPlanner: boolean; }
    | { kind: "restart"; replica: number; }
    | { kind: "remove"; replica: number; }
    | { kind: "crash"; replica: number; }
    | { kind: "target"; model: string; }
    | { kind: "pause"; model: string; }
    | { kind: "resume"; model: string; };

describe("rollouts", () => {
    const model = fc.constantFrom("large", "small");
    const replica = fc.nat({ max: 7 });
    const quietAction = fc.oneof(
        fc.record({ kind: fc.constant("changeLeader" as const), keepsPreviousPlanner: fc.boolean() }),
        fc.record({ kind: fc.constant("target" as const), model }),
        fc.record({ kind: fc.constant("pause" as const), model }),
        fc.record({ kind: fc.constant("resume" as const), model }),
    );
    const hardAction = fc.oneof(
        fc.record({ kind: fc.constant("restart" as const), replica }),
        fc.record({ kind: fc.constant("crash" as const), replica }),
        fc.record({ kind: fc.constant("remove" as const), replica }),
    );
    const faults = fc.record({
        loss: fc.constantFrom<number[]>(0, 0.1, 0.4),
        delayMilliseconds: fc.constantFrom<number[]>(5, 300, 3_000),
        repeat: fc.constantFrom<number[]>(0, 0.5),
        refusal: fc.constantFrom<number[]>(0, 0.2),
    });

    function getScenario(action: fc.Arbitrary<Action>) {
        return fc.record({
            seed: fc.nat(),
            large: fc.integer({ min: 1, max: 6 }),
            small: fc.integer({ min: 1, max: 4 }),
            enforcesFencing: fc.boolean(),
            capacityFloor: fc.constantFrom(undefined, 0, 0.5),
            faults,
            actions: fc.array(fc.record({ atMilliseconds: fc.nat({ max: faultsEndMilliseconds }), action }), {
                maxLength: 12,
            }),
        });
    }

    type Scenario = ReturnType<typeof getScenario> extends fc.Arbitrary<infer T> ? T : never;

    /** Runs a scenario: first with faults and actions, then without faults, when every rollout must be completed. */
    async function run(scenario: Scenario): Promise<{ simulation: RolloutSimulation; isDone: boolean; }> {
        let current = scenario.faults;
        const simulation = createRolloutSimulation({
            ...scenario,
            replicas: { large: scenario.large, small: scenario.small },
            getFaults: () => current,
        });
        let version = 1;
        simulation.setTarget("large", "v1");
        simulation.setTarget("small", "v1");
        for (const { atMilliseconds, action } of sortByTime(scenario.actions)) {
            await simulation.clock.runUntil(() => false, atMilliseconds);
            applyAction(simulation, action, () => `v${++version}`);
        }
        await simulation.clock.runUntil(() => false, faultsEndMilliseconds);
        current = noFaults;
        const isDone = await simulation.clock.runUntil(() => isDoneOrResumed(simulation), endMilliseconds);
        await simulation.stop();
        return { simulation, isDone };
    }

    /** Resumes paused and failed rollouts, as an operator does once the faults are over. */
    function isDoneOrResumed(simulation: RolloutSimulation): boolean {
        const halted = simulation.control.part.getRollouts()
            .filter(rollout => rollout.state === RolloutState.PAUSED || rollout.state === RolloutState.FAILED);
        halted.forEach(rollout => simulation.setState(rollout.model, RolloutState.RUNNING));
        return simulation.isDone();
    }

    async function doTest(scenario: Scenario): Promise<void> {
        const { simulation, isDone } = await run(scenario);
        expect(simulation.violations).to.deep.equal([]);
        const blocked = scenario.capacityFloor === 0.5 && (scenario.large === 1 || scenario.small === 1);
        expect(isDone || blocked).to.equal(true);
    }

    it("keep all invariants over lost, late and repeated messages and leader changes at any step", async () => {
        await fc.assert(fc.asyncProperty(getScenario(quietAction), doTest), { seed: 6, numRuns: 30 });
    });

    it("keep all invariants while sidecars restart, engines crash and instances are removed", async () => {
        const action = fc.oneof(quietAction, hardAction);
        await fc.assert(fc.asyncProperty(getScenario(action), doTest), { seed: 7, numRuns: 30 });
    });
});

function sortByTime<T extends { atMilliseconds: number; }>(actions: readonly T[]): readonly T[] {
    return [...actions].sort((first, second) => first.atMilliseconds - second.atMilliseconds);
}

/** Applies an action to a simulation. */
function applyAction(simulation: RolloutSimulation, action: Action, getVersion: () => string): void {
    switch (action.kind) {
        case "changeLeader":
            return simulation.changeLeader(action.keepsPreviousPlanner);
        case "target":
            return simulation.setTarget(action.model, getVersion());
        case "pause":
            return simulation.setState(action.model, RolloutState.PAUSED);
        case "resume":
            return simulation.setState(action.model, RolloutState.RUNNING);
        case "restart":
            return simulation.replicas[action.replica % simulation.replicas.length]!.restart();
        case "crash":
            return simulation.replicas[action.replica % simulation.replicas.length]!.crash();
        case "remove":
            return simulation.replicas[action.replica % simulation.replicas.length]!.remove();
    }
}
