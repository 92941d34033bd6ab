/*
 * The committed state of all rollouts, as the planner and the order relay read it.
 */
import { ModelRollout } from "./ModelRollout";
import { OpenStep } from "./OpenStep";

/** The rollouts and steps that are committed and applied here. */
export interface RolloutReader {
    /** Gets every model's rollout. */
    getRollouts(): readonly ModelRollout[];
    /** Gets a model's rollout; undefined where it never had a target. */
    getRollout(model: string): ModelRollout | undefined;
    /** Gets the steps that have not ended, of all models. */
    getOpenSteps(): readonly OpenStep[];
}
