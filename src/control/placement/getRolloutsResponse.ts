/*
 * Shows operators the state of all rollouts.
 */
import { RolloutState } from "../../protocol";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutPartState } from "./RolloutPartState";
import { RolloutsResponse } from "./RolloutsResponse";

type RolloutResponse = RolloutsResponse["rollouts"][number];
type StepResponse = RolloutResponse["openSteps"][number];

/**
 * Gets the answer to a rollouts query.
 * @param state - The state of all rollouts.
 */
export function getRolloutsResponse(state: RolloutPartState): RolloutsResponse {
    const steps = [...state.openSteps.values()];
    const rollouts = [...state.rollouts.values()].sort((first, second) => first.model < second.model ? -1 : 1);
    return { rollouts: rollouts.map(rollout => toRolloutResponse(rollout, steps)) };
}

/** Turns one rollout into its answer. */
function toRolloutResponse(rollout: ModelRollout, steps: readonly OpenStep[]): RolloutResponse {
    const { model, version, adapters, author, reason, size, succeededSteps, failedSteps } = rollout;
    return {
        model,
        version,
        adapters,
        revision: rollout.revision.toString(),
        state: RolloutState[rollout.state].toLowerCase(),
        author,
        reason,
        size,
        hasCanaryPassed: rollout.hasCanaryPassed,
        succeededSteps,
        failedSteps,
        openSteps: steps.filter(step => step.model === model).map(toStepResponse),
    };
}

/** Turns one open step into its answer. */
function toStepResponse(step: OpenStep): StepResponse {
    const { companion, number } = step;
    return { companion, phase: getPhase(step), number: `${number.term}/${number.index}` };
}

/** Gets how far an open step is. */
function getPhase(step: OpenStep): string {
    if (step.isObserved) {
        return "observed";
    }
    return step.beginCount > 0 ? "begun" : "ordered";
}
