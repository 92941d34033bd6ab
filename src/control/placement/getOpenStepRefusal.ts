/*
 * The rules by which a rollout step may be opened. The replicated state applies them to each command, so that two
 * leaders can't break them together.
 */
import { RolloutState, RolloutStep } from "../../protocol";
import { ModelRollout } from "./ModelRollout";
import { RolloutPartState } from "./RolloutPartState";

const maximumConcurrentLoads = 2;

/**
 * Gets why a step may not be opened; undefined where it may.
 * @param state - The state of all rollouts.
 * @param step - The step proposed.
 */
export function getOpenStepRefusal(state: RolloutPartState, step: RolloutStep): string | undefined {
    const rollout = state.rollouts.get(step.model);
    if (rollout === undefined || rollout.revision !== step.configurationRevision) {
        return "the step belongs to another target";
    }
    if (rollout.state !== RolloutState.RUNNING && rollout.state !== RolloutState.DONE) {
        return "the rollout takes no steps";
    }
    if (step.version !== rollout.version) {
        return "the step is for another version";
    }
    if (state.openSteps.has(step.companion)) {
        return "the companion has an open step";
    }
    return getLoadRefusal(state, rollout);
}

/** Gets why no further load may start now; undefined where one may. */
function getLoadRefusal(state: RolloutPartState, rollout: ModelRollout): string | undefined {
    const openSteps = [...state.openSteps.values()];
    if (openSteps.filter(step => !step.isObserved).length >= maximumConcurrentLoads) {
        return "as many loads as the weight store takes are open";
    }
    const hasOpenStep = openSteps.some(step => step.model === rollout.model);
    return !rollout.hasCanaryPassed && hasOpenStep ? "the canary has not passed" : undefined;
}
