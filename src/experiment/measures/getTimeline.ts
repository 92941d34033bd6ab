/*
 * The figures of each second of a run.
 */
import { RequestRecord } from "../client";
import { getWindowStatistics } from "./getWindowStatistics";
import { SecondSample } from "./SecondSample";

const millisecondsPerSecond = 1_000;

/**
 * Gets the figures of each second.
 * @param startMilliseconds - The start of the measured time, from the workload's start.
 * @param wastedTokens - How many tokens had been wasted by the end of each second.
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
