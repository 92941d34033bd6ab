/*
 * The result of a demonstration.
 */
import { Percentiles } from "../measures";
import { DemoCheck } from "./DemoCheck";

/** What was seen of a demonstration's workload. */
export interface DemoResult {
    /** How many requests were sent. */
    requests: number;
    /** How many had a whole answer. */
    completed: number;
    /** How many were refused, by code. */
    refused: Readonly<Record<string, number>>;
    /** Cached prompt tokens of all prompt tokens. */
    prefixHitRate: number;
    /** Times from the scheduled arrival to the first token. */
    timeToFirstTokenMilliseconds: Percentiles;
    /** Tokens recomputed that a live engine held, of all prompt tokens computed; undefined where it was not followed. */
    wastedRecomputationShare: number | undefined;
    /** How many calls that may not run twice were asked for. */
    releasesRequested: number;
    /** How many of them were run. */
    releasesRun: number;
    /** The promises, each with its outcome. */
    checks: readonly DemoCheck[];
}
