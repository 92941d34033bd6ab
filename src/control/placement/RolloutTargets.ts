/*
 * The rollout targets that the configuration sets.
 */
import { RolloutTarget } from "../configuration";

/** The targets of all models at one revision of the configuration. */
export interface RolloutTargets {
    /** The revision of the configuration. */
    revision: bigint;
    /** The targets, by the name of the model. */
    targets: Readonly<Record<string, RolloutTarget>>;
}
