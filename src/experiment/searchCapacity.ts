/*
 * Searches for the highest load that a policy sustains: 95% of the first tokens arrive within 1.1 s, and 95% of the
 * times between tokens are at most 39 ms.
 */
import { CapacityResult } from "./CapacityResult";
import { CapacityTrial } from "./CapacityTrial";
import { createExperimentWorkload } from "./createExperimentWorkload";
import { ExperimentOptions } from "./ExperimentOptions";
import { getCapacityTrial } from "./getCapacityTrial";
import { PolicyName } from "./policies";
import { runPolicy } from "./runPolicy";

const minimumLoad = 0.1;
const maximumLoad = 6.4;
const relativePrecision = 0.1;

/**
 * Searches for the highest load by doubling it until the policy no longer sustains it, and then by bisection.
 * @param policy - The policy to search for.
 * @param options - The options of each trial; the search begins with their load.
 */
export async function searchCapacity(policy: PolicyName, options: ExperimentOptions): Promise<CapacityResult> {
    const trials: CapacityTrial[] = [];
    let sustainedLoad = 0;
    let unsustainedLoad = maximumLoad;
    for (let load = options.load; load < unsustainedLoad;) {
        if (await isSustained(load)) {
            sustainedLoad = load;
            load *= 2;
        }
        else {
            unsustainedLoad = load;
        }
    }
    while (unsustainedLoad - sustainedLoad > relativePrecision * unsustainedLoad && unsustainedLoad > minimumLoad) {
        const load = (sustainedLoad + unsustainedLoad) / 2;
        if (await isSustained(load)) {
            sustainedLoad = load;
        }
        else {
            unsustainedLoad = load;
        }
    }
    return { policy, load: sustainedLoad, trials };

    async function isSustained(load: number): Promise<boolean> {
        const runOptions = { ...options, load };
        const outcome = await runPolicy(policy, createExperimentWorkload(runOptions), runOptions);
        const trial = getCapacityTrial(outcome, runOptions);
        trials.push(trial);
        return trial.isBorne;
    }
}
