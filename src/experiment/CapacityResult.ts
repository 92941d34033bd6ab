/*
 * The highest load that a policy sustains within its latency targets.
 */
import { CapacityTrial } from "./CapacityTrial";

/** The result of a search for the highest load that a policy sustains. */
export interface CapacityResult {
    /** The policy's name. */
    policy: string;
    /** The highest load that the policy sustained; 0 if it sustained none. */
    load: number;
    /** The trials, in the order in which they ran. */
    trials: readonly CapacityTrial[];
}
