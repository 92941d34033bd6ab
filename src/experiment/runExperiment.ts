/*
 * Runs an experiment: one policy after the other, each with the same arrivals.
 */
import { createExperimentWorkload } from "./createExperimentWorkload";
import { ExperimentOptions } from "./ExperimentOptions";
import { ExperimentResult } from "./ExperimentResult";
import { getPolicyResult } from "./getPolicyResult";
import { PolicyResult } from "./PolicyResult";
import { runPolicy } from "./runPolicy";

/**
 * Runs an experiment.
 * @param options - The workload, the policies to compare and the faults to inject.
 */
export async function runExperiment(options: ExperimentOptions): Promise<ExperimentResult> {
    const workload = createExperimentWorkload(options);
    const policies: PolicyResult[] = [];
    for (const policy of options.policies) {
        policies.push(getPolicyResult(await runPolicy(policy, workload, options), options));
    }
    return {
        workload: options.workload,
        seed: options.seed,
        load: options.load,
        faults: options.faults,
        seconds: options.seconds,
        warmUpSeconds: options.warmUpSeconds,
        completionsPerSecond: workload.completionsPerSecond,
        meanPromptTokens: workload.meanPromptTokens,
        policies,
    };
}
