/*
 * The result of a demonstration.
 */
import { Percentiles } from "../measures";
import { DemoCheck } from "./DemoCheck";

/** The figures measured for a demonstration's workload, and the outcomes of its checks. */
export interface DemoResult {
    /** The number of requests sent. */
    requests: number;
    /** The number of requests with a complete response. */
    completed: number;
    /** The number of refused requests, by refusal code. */
    refused: Readonly<Record<string, number>>;
    /** The share of all prompt tokens that were cached. */
    prefixHitRate: number;
    /** The time from the scheduled arrival to the first token. */
    timeToFirstTokenMilliseconds: Percentiles;
    /** The share of computed prompt tokens that a running engine held already; undefined if it was not measured. */
    wastedRecomputationShare: number | undefined;
    /** The number of requested calls that must not run twice. */
    releasesRequested: number;
    /** The number of those calls that ran. */
    releasesRun: number;
    /** The checked guarantees, each with its outcome. */
    checks: readonly DemoCheck[];
}
