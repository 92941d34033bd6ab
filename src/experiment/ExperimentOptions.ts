/*
 * The options of an experiment.
 */
import { Clock } from "../runtime";
import { ExperimentProgress } from "./ExperimentProgress";
import { FaultName } from "./FaultName";
import { PolicyName } from "./policies";
import { WorkloadKind } from "./workloads";

/** The options of an experiment. */
export interface ExperimentOptions {
    /** The kind of workload to create. */
    workload: WorkloadKind;
    /** The policies to compare, each with the same arrivals. */
    policies: readonly PolicyName[];
    /** The length of the measured time, in seconds. */
    seconds: number;
    /** The length of the warm-up before the measured time, in seconds; it fills the caches. */
    warmUpSeconds: number;
    /** The seed of the workload and of all random choices. */
    seed: number;
    /** The offered load; 1 is the rate of prompt tokens that all engines together can prefill without any cache hit. */
    load: number;
    /** The faults to inject. */
    faults: readonly FaultName[];
    /** The clock by which requests are sent and times are measured. */
    clock: Clock;
    /** Is called with the progress of the current run, once a second. */
    onProgress(progress: ExperimentProgress): void;
}
