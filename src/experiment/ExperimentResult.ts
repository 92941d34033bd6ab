/*
 * The result of an experiment, as it is written to the JSON file.
 */
import { CapacityResult } from "./CapacityResult";
import { PolicyResult } from "./PolicyResult";

/** The result of an experiment. */
export interface ExperimentResult {
    /** The kind of workload. */
    workload: string;
    /** The seed of the workload and of all random choices. */
    seed: number;
    /** The offered load; 1 is the rate of prompt tokens that all engines together can prefill without any cache hit. */
    load: number;
    /** The injected faults. */
    faults: readonly string[];
    /** The length of the measured time, in seconds. */
    seconds: number;
    /** The length of the warm-up before the measured time, in seconds. */
    warmUpSeconds: number;
    /** The mean arrival rate of completions, per second. */
    completionsPerSecond: number;
    /** The mean length of prompts, in tokens. */
    meanPromptTokens: number;
    /** The results of the policies, in the order in which they ran. */
    policies: readonly PolicyResult[];
    /** The highest load of each policy; absent unless the experiment searched for them. */
    capacities?: readonly CapacityResult[];
}
