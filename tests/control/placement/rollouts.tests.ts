import { expect } from "chai";
import fc from "fast-check";
import { RolloutState } from "../../../src/protocol";
import { createRolloutSimulation, RolloutSimulation, SimulationFaults } from "./createRolloutSimulation";

const noFaults: SimulationFaults = { loss: 0, delayMilliseconds: 5, repeat: 0, refusal: 0 };
const faultsEndMilliseconds = 60_000;
const endMilliseconds = 1_800_000;

/** What happens to a trial at a time. */
type Action =
    | { kind: "changeLeader"; isLeftBehind: boolean; }
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
        fc.record({ kind: fc.constant("changeLeader" as const), isLeftBehind: fc.boolean() }),
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

    /** Runs a scenario: faults and actions first, then peace, in which everything must come to its end. */
    async function run(scenario: Scenario): Promise<{ trial: RolloutSimulation; isDone: boolean; }> {
        let current = scenario.faults;
        const trial = createRolloutSimulation({
            ...scenario,
            replicas: { large: scenario.large, small: scenario.small },
            getFaults: () => current,
        });
        let version = 1;
        trial.setTarget("large", "v1");
        trial.setTarget("small", "v1");
        for (const { atMilliseconds, action } of sortByTime(scenario.actions)) {
            await trial.clock.runUntil(() => false, atMilliseconds);
            act(trial, action, () => `v${++version}`);
        }
        await trial.clock.runUntil(() => false, faultsEndMilliseconds);
        current = noFaults;
        const isDone = await trial.clock.runUntil(() => isDoneOrResumed(trial), endMilliseconds);
        await trial.stop();
        return { trial, isDone };
    }

    /** Plays the operator who resumes what was paused or has failed, once faults are over. */
    function isDoneOrResumed(trial: RolloutSimulation): boolean {
        const halted = trial.control.part.getRollouts()
            .filter(rollout => rollout.state === RolloutState.PAUSED || rollout.state === RolloutState.FAILED);
        halted.forEach(rollout => trial.setState(rollout.model, RolloutState.RUNNING));
        return trial.isDone();
    }

    async function doTest(scenario: Scenario): Promise<void> {
        const { trial, isDone } = await run(scenario);
        expect(trial.violations).to.deep.equal([]);
        const blocked = scenario.capacityFloor === 0.5 && (scenario.large === 1 || scenario.small === 1);
        expect(isDone || blocked).to.equal(true);
    }

    it("keep all rules over lost, late and repeated messages and leader changes at any step", async () => {
        await fc.assert(fc.asyncProperty(getScenario(quietAction), doTest), { seed: 6, numRuns: 30 });
    });

    it("keep all rules while sidecars restart, engines crash and instances go for good", async () => {
        const action = fc.oneof(quietAction, hardAction);
        await fc.assert(fc.asyncProperty(getScenario(action), doTest), { seed: 7, numRuns: 30 });
    });
});

/** Sorts actions by their time. */
function sortByTime<T extends { atMilliseconds: number; }>(actions: readonly T[]): readonly T[] {
    return [...actions].sort((first, second) => first.atMilliseconds - second.atMilliseconds);
}

/** Does what an action says. */
function act(trial: RolloutSimulation, action: Action, getVersion: () => string): void {
    switch (action.kind) {
        case "changeLeader":
            return trial.changeLeader(action.isLeftBehind);
        case "target":
            return trial.setTarget(action.model, getVersion());
        case "pause":
            return trial.setState(action.model, RolloutState.PAUSED);
        case "resume":
            return trial.setState(action.model, RolloutState.RUNNING);
        case "restart":
            return trial.replicas[action.replica % trial.replicas.length]!.restart();
        case "crash":
            return trial.replicas[action.replica % trial.replicas.length]!.crash();
        case "remove":
            return trial.replicas[action.replica % trial.replicas.length]!.remove();
    }
}
