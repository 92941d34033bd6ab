/*
 * The state of all rollouts inside the replicated state.
 */
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { StepFencingToken } from "./StepFencingToken";

/** The rollouts, and the steps that have not ended. */
export interface RolloutPartState {
    /** The rollouts, by model. */
    rollouts: Map<string, ModelRollout>;
    /** The open steps, by sidecar: each has one at most. */
    openSteps: Map<string, OpenStep>;
    /** The number of the step that was opened last. */
    lastNumber: StepFencingToken;
}
