/*
 * Answers the query of an operator for the state of all rollouts.
 */
import { RolloutState } from "../../protocol";
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { RolloutPartState } from "./RolloutPartState";
import { RolloutsResponse } from "./RolloutsResponse";

type RolloutResponse = RolloutsResponse["rollouts"][number];
type StepResponse = RolloutResponse["openSteps"][number];

/**
 * Gets the response to a rollouts query.
 * @param state - The state of all rollouts.
 */
export function getRolloutsResponse(state: RolloutPartState): RolloutsResponse {
    const steps = [...state.openSteps.values()];
    const rollouts = [...state.rollouts.values()].sort((first, second) => first.model < second.model ? -1 : 1);
    return { rollouts: rollouts.map(rollout => toRolloutResponse(rollout, steps)) };
}

/** Converts a rollout and its open steps into the form of the response. */
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

function toStepResponse(step: OpenStep): StepResponse {
    const { companion, number } = step;
    return { companion, phase: getPhase(step), number: `${number.term}/${number.index}` };
}

/** Gets the phase of an open step: `ordered`, `begun` or `observed`. */
function getPhase(step: OpenStep): string {
    if (step.isObserved) {
        return "observed";
    }
    return step.beginCount > 0 ? "begun" : "ordered";
}
