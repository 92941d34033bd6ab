/*
 * Creates the workload of an experiment, which is the same for each policy.
 */
import { ExperimentOptions } from "./ExperimentOptions";
import { FaultName } from "./FaultName";
import { createWorkload, Workload } from "./workloads";

const prefillTokensPerSecond = 20_000;
const engineCount = 8;
const excessFactor = 20;

/**
 * Creates the workload of an experiment, with its warm-up and those faults that are part of the traffic.
 * @param options - The options of the experiment.
 */
export function createExperimentWorkload(options: ExperimentOptions): Workload {
    const { faults, load, seconds, seed, warmUpSeconds } = options;
    return createWorkload({
        kind: options.workload,
        seed,
        load,
        seconds: warmUpSeconds + seconds,
        engineCount,
        prefillTokensPerSecond,
        popularityShiftSeconds: faults.includes(FaultName.PopularityShift)
            ? warmUpSeconds + Math.floor(seconds / 2)
            : undefined,
        excessFactor: faults.includes(FaultName.HeavySubscriber) ? excessFactor : undefined,
    });
}
