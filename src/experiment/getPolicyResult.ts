/*
 * Calculates the result of one policy's run.
 */
import { RequestRecord } from "./client";
import { ExperimentOptions } from "./ExperimentOptions";
import { FaultName } from "./FaultName";
import { FaultRecovery } from "./FaultRecovery";
import {
    getFairnessIndex,
    getPercentiles,
    getPrefixHitRate,
    getTimeline,
    getWindowStatistics,
    getWorkspaceShares,
    Percentiles,
} from "./measures";
import { PolicyResult } from "./PolicyResult";
import { RunOutcome } from "./RunOutcome";

const millisecondsPerSecond = 1_000;
const maximumTrustedLagMilliseconds = 20;
const comparisonWindowSeconds = 15;
const recoveryDelaySeconds = 5;

type MeasuredOptions = Pick<ExperimentOptions, "seconds" | "warmUpSeconds" | "faults">;

/**
 * Gets the result of a run.
 * @param outcome - The outcome of the run, its warm-up included.
 * @param options - The lengths of the warm-up and of the measured time, and the injected faults.
 */
export function getPolicyResult(outcome: RunOutcome, options: MeasuredOptions): PolicyResult {
    const startMilliseconds = options.warmUpSeconds * millisecondsPerSecond;
    const endMilliseconds = startMilliseconds + options.seconds * millisecondsPerSecond;
    const records = outcome.records.filter(record => record.request.arrivalMilliseconds >= startMilliseconds);
    const completions = records.filter(record => record.request.kind === "completion");
    const wastedTokens = (outcome.wastedTokens.at(-1) ?? 0) - (outcome.wastedTokens[0] ?? 0);
    return {
        policy: outcome.policy,
        requests: records.length,
        completed: records.filter(record => record.outcome === "completed").length,
        refused: countRefusalsByCode(records),
        prefixHitRate: round(getPrefixHitRate(completions)),
        timeToFirstTokenMilliseconds: {
            all: getFirstTokenPercentiles(completions),
            short: getFirstTokenPercentiles(completions.filter(isShort)),
            long: getFirstTokenPercentiles(completions.filter(record => !isShort(record))),
        },
        wastedRecomputationShare: round(
            outcome.computedTokens === 0 ? 0 : wastedTokens / outcome.computedTokens,
        ),
        fairnessIndex: round(getFairnessIndex(completions, endMilliseconds)),
        doubledRuns: countRepeatedRuns(outcome),
        lostRequests: records.filter(record => record.outcome === "lost").length,
        brokenStreams: records.filter(record => record.outcome === "broken").length,
        falseRefusals: countFalseRefusals(outcome),
        othersTimeToFirstTokenMilliseconds: getFirstTokenPercentiles(
            completions.filter(record => !isExcessTraffic(record)),
        ),
        timeBetweenTokensMilliseconds: getPercentiles(completions.flatMap(record => record.interTokenMilliseconds)),
        eventLoopLagMilliseconds: outcome.eventLoopLagMilliseconds,
        isTrustworthy: outcome.eventLoopLagMilliseconds <= maximumTrustedLagMilliseconds,
        recoveries: getRecoveries(outcome, options),
        timeline: getTimeline(records, startMilliseconds, options.seconds, outcome.wastedTokens),
        shares: getWorkspaceShares(completions, endMilliseconds),
    };
}

function countRefusalsByCode(records: readonly RequestRecord[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const record of records) {
        if (record.outcome === "refused") {
            counts[record.code] = (counts[record.code] ?? 0) + 1;
        }
    }
    return counts;
}

function getFirstTokenPercentiles(records: readonly RequestRecord[]): Percentiles {
    return getPercentiles(records.flatMap(record => record.firstTokenMilliseconds ?? []));
}

function isShort(record: RequestRecord): boolean {
    return record.request.kind === "completion" && record.request.isShort;
}

function isExcessTraffic(record: RequestRecord): boolean {
    return record.request.kind === "completion" && record.request.isExcess;
}

function countRunsByCall(outcome: RunOutcome): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const run of outcome.runs) {
        const call = `${run.action}/${run.key}`;
        counts.set(call, (counts.get(call) ?? 0) + 1);
    }
    return counts;
}

function countRepeatedRuns(outcome: RunOutcome): number {
    return [...countRunsByCall(outcome).values()].filter(count => count > 1).length;
}

/** Counts the calls that were refused as not run although they ran. */
function countFalseRefusals(outcome: RunOutcome): number {
    const counts = countRunsByCall(outcome);
    return outcome.records.filter(({ request, runState }) => {
        return request.kind === "service" && runState === "no" && counts.has(`${request.action}/${request.key}`);
    }).length;
}

function getRecoveries(outcome: RunOutcome, options: MeasuredOptions): readonly FaultRecovery[] {
    const atSeconds = Math.floor(options.seconds / 2);
    const faultMilliseconds = (options.warmUpSeconds + atSeconds) * millisecondsPerSecond;
    const getStatistics = (fromSeconds: number, toSeconds: number) =>
        getWindowStatistics(
            outcome.records,
            faultMilliseconds + fromSeconds * millisecondsPerSecond,
            faultMilliseconds + toSeconds * millisecondsPerSecond,
        );
    return options.faults.filter(fault => fault !== FaultName.HeavySubscriber).map(fault => ({
        fault,
        atSeconds,
        before: getStatistics(-comparisonWindowSeconds, 0),
        firstSecond: getStatistics(0, 1),
        after: getStatistics(recoveryDelaySeconds, recoveryDelaySeconds + comparisonWindowSeconds),
    }));
}

function round(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}
