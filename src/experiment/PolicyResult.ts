/*
 * The result of one policy's run.
 */
import { FaultRecovery } from "./FaultRecovery";
import { Percentiles, SecondSample, WorkspaceShare } from "./measures";

/** The figures measured for one policy. */
export interface PolicyResult {
    /** The policy's name. */
    policy: string;
    /** The number of requests that arrived in the measured time, completions and service calls. */
    requests: number;
    /** The number of requests with a complete response. */
    completed: number;
    /** The number of refused requests, by refusal code. */
    refused: Readonly<Record<string, number>>;
    /** The share of all prompt tokens that were cached. */
    prefixHitRate: number;
    /** The time from the scheduled arrival to the first token, of all, short and long completions. */
    timeToFirstTokenMilliseconds: { all: Percentiles; short: Percentiles; long: Percentiles; };
    /** The share of computed prompt tokens whose blocks a running engine of the same version held already. */
    wastedRecomputationShare: number;
    /** Jain's fairness index over demand-limited shares. */
    fairnessIndex: number;
    /** The number of keys that were released or published more than once. */
    doubledRuns: number;
    /** The number of requests without any response. */
    lostRequests: number;
    /** The number of responses that ended without an end marker or a refusal. */
    brokenStreams: number;
    /** The number of refusals that reported a call as not run although it had run. */
    falseRefusals: number;
    /** The time to the first token, without the subscriber that sends excess traffic. */
    othersTimeToFirstTokenMilliseconds: Percentiles;
    /** The times between the tokens of one completion. */
    timeBetweenTokensMilliseconds: Percentiles;
    /** The 99th percentile of the event loop's lag. */
    eventLoopLagMilliseconds: number;
    /** Whether the event loop's lag was low enough for the figures to be valid. */
    isTrustworthy: boolean;
    /** The effect of each fault that was injected in the middle of the measured time. */
    recoveries: readonly FaultRecovery[];
    /** The figures of each second of the measured time. */
    timeline: readonly SecondSample[];
    /** The demand and the served tokens of each workspace. */
    shares: readonly WorkspaceShare[];
}
