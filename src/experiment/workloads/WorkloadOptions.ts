/*
 * What a workload is created from.
 */
import { WorkloadKind } from "./WorkloadKind";

/** The options of a workload. */
export interface WorkloadOptions {
    /** The kind. */
    kind: WorkloadKind;
    /** The seed; equal options give equal requests. */
    seed: number;
    /** The load; 1 is what the engines can prefill a second without any cache. */
    load: number;
    /** How long requests arrive, in seconds. */
    seconds: number;
    /** How many engines there are. */
    engineCount: number;
    /** How many prompt tokens an engine prefills a second. */
    prefillTokensPerSecond: number;
    /** When other documents become the popular ones, in seconds; never where absent. */
    popularityShiftSeconds?: number;
    /** How many times its mean share one subscriber asks for in addition; none where absent. */
    excessFactor?: number;
}
