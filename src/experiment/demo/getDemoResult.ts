/*
 * Calculates a demonstration's result and checks the guarantees of the system.
 */
import { RunLogEntry } from "../../standIns";
import { RequestRecord } from "../client";
import { getPercentiles, getPrefixHitRate } from "../measures";
import { FleetGroundTruth } from "../policies";
import { DemoCheck } from "./DemoCheck";
import { DemoResult } from "./DemoResult";

/**
 * Gets the result of a demonstration.
 * @param records - The records of all requests.
 * @param runs - The calls that the services ran, over all replicas.
 * @param groundTruth - The engines' cached blocks and computed tokens; undefined if they were not tracked.
 */
export function getDemoResult(
    records: readonly RequestRecord[],
    runs: readonly RunLogEntry[],
    groundTruth: FleetGroundTruth | undefined,
): DemoResult {
    const completions = records.filter(record => record.request.kind === "completion");
    const releases = records.filter(isNonIdempotent);
    const counts = countRunsByCall(runs);
    const firstTokens = completions.flatMap(record => record.firstTokenMilliseconds ?? []);
    return {
        requests: records.length,
        completed: records.filter(record => record.outcome === "completed").length,
        refused: countRefusalsByCode(records),
        prefixHitRate: getPrefixHitRate(completions),
        timeToFirstTokenMilliseconds: getPercentiles(firstTokens),
        wastedRecomputationShare: groundTruth === undefined
            ? undefined
            : groundTruth.getWastedTokens() / Math.max(1, groundTruth.getComputedTokens()),
        releasesRequested: releases.length,
        releasesRun: releases.filter(record => counts.has(getCallName(record))).length,
        checks: [
            checkStreams(completions),
            checkRepeatedRuns(counts),
            checkNotRunRefusals(releases, counts),
            checkCompletedReleases(releases, counts),
        ],
    };
}

function isNonIdempotent({ request }: RequestRecord): boolean {
    return request.kind === "service" && request.action !== "status";
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

function countRunsByCall(runs: readonly RunLogEntry[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const run of runs) {
        const call = `${run.action}/${run.key}`;
        counts.set(call, (counts.get(call) ?? 0) + 1);
    }
    return counts;
}

function getCallName({ request }: RequestRecord): string {
    return request.kind === "service" ? `${request.action}/${request.key}` : "";
}

/** Checks that every stream ended with its end marker or with a refusal. */
function checkStreams(completions: readonly RequestRecord[]): DemoCheck {
    const broken = completions.filter(record => record.outcome === "broken" || record.outcome === "lost").length;
    return {
        name: "every stream is complete",
        holds: broken === 0,
        details: `${completions.length} streams, ${broken} broken or lost`,
    };
}

function checkRepeatedRuns(counts: ReadonlyMap<string, number>): DemoCheck {
    const repeated = [...counts.values()].filter(count => count > 1).length;
    return {
        name: "no release ran twice",
        holds: repeated === 0,
        details: `${counts.size} releases run, ${repeated} more than once`,
    };
}

/** Checks that no call ran that was refused as not run. */
function checkNotRunRefusals(releases: readonly RequestRecord[], counts: ReadonlyMap<string, number>): DemoCheck {
    const notRun = releases.filter(record => record.runState === "no");
    const falseRefusals = notRun.filter(record => counts.has(getCallName(record))).length;
    return {
        name: "every \"not run\" is true",
        holds: falseRefusals === 0,
        details: `${notRun.length} answered as not run, ${falseRefusals} of them ran`,
    };
}

/** Checks that every call with a complete response did run. */
function checkCompletedReleases(releases: readonly RequestRecord[], counts: ReadonlyMap<string, number>): DemoCheck {
    const completed = releases.filter(record => record.outcome === "completed");
    const missing = completed.filter(record => !counts.has(getCallName(record))).length;
    return {
        name: "every answered release ran",
        holds: missing === 0,
        details: `${completed.length} answered, ${missing} of them not run`,
    };
}
