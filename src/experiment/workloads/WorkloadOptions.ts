/*
 * The options of a workload.
 */
import { WorkloadKind } from "./WorkloadKind";

/** The options of a workload. */
export interface WorkloadOptions {
    /** The kind of the workload. */
    kind: WorkloadKind;
    /** The seed; equal options give equal requests. */
    seed: number;
    /** The offered load; 1 is the rate of prompt tokens that all engines together can prefill without any cache hit. */
    load: number;
    /** The time during which requests arrive, in seconds. */
    seconds: number;
    /** The number of engines. */
    engineCount: number;
    /** The prefill rate of each engine, in tokens per second. */
    prefillTokensPerSecond: number;
    /** The time at which other documents become the popular ones, in seconds from the start; never if absent. */
    popularityShiftSeconds?: number;
    /** The excess traffic of one subscriber, as a multiple of a subscriber's mean demand; none if absent. */
    excessFactor?: number;
}
