/*
 * Searches for the highest load that a policy bears: 95 in 100 first tokens within 1.1 s, and 95 in 100 times between
 * tokens within 39 ms.
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

/** Searches by doubling the load until it is not borne, and then by halving the interval. */
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
