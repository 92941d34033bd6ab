/*
 * The state that the rollout part of the replicated state holds.
 */
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";
import { StepFencingToken } from "./StepFencingToken";

/** All rollouts and open steps. */
export interface RolloutPartState {
    /** The rollouts, by the name of the model. */
    rollouts: Map<string, ModelRollout>;
    /** The open steps, by the instance id of the sidecar, which has one at most. */
    openSteps: Map<string, OpenStep>;
    /** The fencing token of the step that was opened last. */
    lastNumber: StepFencingToken;
}
