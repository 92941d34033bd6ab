/*
 * Read access to the committed state of all rollouts.
 */
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";

/** Reads the rollouts and steps that are committed and applied at this control member. */
export interface RolloutReader {
    /** Gets the rollouts of all models. */
    getRollouts(): readonly ModelRollout[];
    /** Gets the rollout of a model; undefined where the model has never had a target. */
    getRollout(model: string): ModelRollout | undefined;
    /** Gets the steps of all models that have not ended. */
    getOpenSteps(): readonly OpenStep[];
}
