/*
 * The committed state of one model's rollout.
 */
import { RolloutState } from "../../protocol";

/** What one model's backend servers should hold, and how far they are. */
export interface ModelRollout {
    /** The model's name. */
    model: string;
    /** The weights version wanted. */
    version: string;
    /** The adapters wanted. */
    adapters: readonly string[];
    /** The role wanted of each sidecar, by instance id; `both` where absent. */
    roles: Readonly<Record<string, string>>;
    /** The configuration revision at which the target was read. */
    revision: bigint;
    /** How many backend servers the capacity floor is counted against. */
    size: number;
    /** Whether steps are taken. */
    state: RolloutState;
    /** Who set the state: an operator's name, or `basilwing`. */
    author: string;
    /** Why the state was set; empty where it needs no reason. */
    reason: string;
    /** Whether one backend server has taken the whole target and stayed healthy under observation. */
    hasCanaryPassed: boolean;
    /** How many steps have succeeded. */
    succeededSteps: number;
    /** How many steps have failed. */
    failedSteps: number;
    /** How many steps have failed since the last that succeeded. */
    consecutiveFailures: number;
}
