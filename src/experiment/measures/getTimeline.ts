/*
 * Calculates the figures of each second of a run.
 */
import { RequestRecord } from "../client";
import { getWindowStatistics } from "./getWindowStatistics";
import { SecondSample } from "./SecondSample";

const millisecondsPerSecond = 1_000;

/**
 * Gets the figures of each second of the measured time.
 * @param records - The records of the run's requests; only completions count.
 * @param startMilliseconds - The start of the measured time, in milliseconds from the workload's start.
 * @param seconds - The length of the measured time, in seconds.
 * @param wastedTokens - The number of tokens wasted so far, at the start of each second and at the end of the last one.
 */
export function getTimeline(
    records: readonly RequestRecord[],
    startMilliseconds: number,
    seconds: number,
    wastedTokens: readonly number[],
): readonly SecondSample[] {
    return [...Array(seconds).keys()].map(second => {
        const from = startMilliseconds + second * millisecondsPerSecond;
        const statistics = getWindowStatistics(records, from, from + millisecondsPerSecond);
        return {
            second,
            requests: statistics.requests,
            prefixHitRate: statistics.prefixHitRate,
            timeToFirstTokenMilliseconds: statistics.timeToFirstTokenMilliseconds.p95,
            wastedTokens: (wastedTokens[second + 1] ?? 0) - (wastedTokens[second] ?? 0),
        };
    });
}
