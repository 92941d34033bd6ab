/*
 * The committed state of one model's rollout. Snapshots store its fields under their names.
 */
import { RolloutState } from "../../protocol";

/** The target of one model's backend servers and the progress towards it. */
export interface ModelRollout {
    /** The name of the model. */
    model: string;
    /** The desired weights version. */
    version: string;
    /** The desired adapters. */
    adapters: readonly string[];
    /** The desired engine role of each sidecar, by instance id; `both` where absent. */
    roles: Readonly<Record<string, string>>;
    /** The configuration revision from which the target was read. */
    revision: bigint;
    /** The number of backend servers that the capacity floor is a share of. */
    size: number;
    /** Whether the rollout is running, paused, done or failed. */
    state: RolloutState;
    /** Who set the state: the name of an operator, or `basilwing` for the system itself. */
    author: string;
    /** Why the state was set; empty where no reason was given. */
    reason: string;
    /** Whether one backend server has reached the whole target and stayed healthy under observation. */
    hasCanaryPassed: boolean;
    /** How many steps have succeeded. */
    succeededSteps: number;
    /** How many steps have failed. */
    failedSteps: number;
    /** How many steps have failed since the last successful one. */
    consecutiveFailures: number;
}
