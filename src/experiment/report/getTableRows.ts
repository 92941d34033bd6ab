/*
 * Formats the results of an experiment as the rows of a table.
 */
import { ExperimentResult } from "../ExperimentResult";
import { PolicyResult } from "../PolicyResult";

const headings = [
    "policy",
    "requests",
    "completed",
    "refused",
    "hit rate",
    "waste",
    "p50 ms",
    "p99 ms",
    "short p99 ms",
    "long p99 ms",
    "fairness",
    "doubled",
    "lost",
    "broken",
    "lag p99 ms",
];

/**
 * Gets the headings and the rows of the table, one row for each policy.
 * @param result - The result of the experiment.
 */
export function getTableRows(result: ExperimentResult): readonly (readonly string[])[] {
    return [headings, ...result.policies.map(getRow)];
}

function getRow(policy: PolicyResult): readonly string[] {
    const { all, long, short } = policy.timeToFirstTokenMilliseconds;
    const refused = Object.values(policy.refused).reduce((total, count) => total + count, 0);
    const lag = policy.eventLoopLagMilliseconds.toFixed(1);
    return [
        policy.policy,
        String(policy.requests),
        String(policy.completed),
        String(refused),
        policy.prefixHitRate.toFixed(3),
        policy.wastedRecomputationShare.toFixed(3),
        all.p50.toFixed(0),
        all.p99.toFixed(0),
        short.p99.toFixed(0),
        long.p99.toFixed(0),
        policy.fairnessIndex.toFixed(3),
        String(policy.doubledRuns),
        String(policy.lostRequests),
        String(policy.brokenStreams),
        policy.isTrustworthy ? lag : `${lag} (too high to be trusted)`,
    ];
}
