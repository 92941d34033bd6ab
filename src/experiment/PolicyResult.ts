/*
 * The result of one policy.
 */
import { FaultRecovery } from "./FaultRecovery";
import { Percentiles, SecondSample, WorkspaceShare } from "./measures";

/** What was measured of one policy. */
export interface PolicyResult {
    /** The policy. */
    policy: string;
    /** How many requests arrived in the measured time. */
    requests: number;
    /** How many of them had a whole answer. */
    completed: number;
    /** How many were refused, by code. */
    refused: Readonly<Record<string, number>>;
    /** Cached prompt tokens of all prompt tokens. */
    prefixHitRate: number;
    /** Times from the scheduled arrival to the first token, over all completions, short ones and long ones. */
    timeToFirstTokenMilliseconds: { all: Percentiles; short: Percentiles; long: Percentiles; };
    /** Tokens recomputed that a live engine of the version held, of all prompt tokens computed. */
    wastedRecomputationShare: number;
    /** Jain's index over demand-limited shares. */
    fairnessIndex: number;
    /** How many keys were released or published more than once. */
    doubledRuns: number;
    /** How many requests had no answer at all. */
    lostRequests: number;
    /** How many streams ended without an end marker or a reason. */
    brokenStreams: number;
    /** How many refusals said "not run" of a call that had run. */
    falseRefusals: number;
    /** The same times without the subscriber that asks for far more than its share. */
    othersTimeToFirstTokenMilliseconds: Percentiles;
    /** Times between tokens. */
    timeBetweenTokensMilliseconds: Percentiles;
    /** How late the process's own tasks ran, for 99 in 100 of them. */
    eventLoopLagMilliseconds: number;
    /** Whether that is little enough for the figures to be trusted. */
    isTrustworthy: boolean;
    /** How each fault went by. */
    recoveries: readonly FaultRecovery[];
    /** The figures of each second. */
    timeline: readonly SecondSample[];
    /** What each workspace asked for and got. */
    shares: readonly WorkspaceShare[];
}
