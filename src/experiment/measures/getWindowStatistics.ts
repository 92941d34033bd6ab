/*
 * Measures a part of a run.
 */
import { RequestRecord } from "../client";
import { getPercentiles } from "./getPercentiles";
import { getPrefixHitRate } from "./getPrefixHitRate";
import { WindowStatistics } from "./WindowStatistics";

/**
 * Gets the figures of the completions that arrived within a window.
 * @param fromMilliseconds - The window's start, from the workload's start.
 * @param toMilliseconds - The window's end.
 */
export function getWindowStatistics(
    records: readonly RequestRecord[],
    fromMilliseconds: number,
    toMilliseconds: number,
): WindowStatistics {
    const arrived = records.filter(({ request }) => {
        return request.kind === "completion"
            && request.arrivalMilliseconds >= fromMilliseconds
            && request.arrivalMilliseconds < toMilliseconds;
    });
    return {
        requests: arrived.length,
        prefixHitRate: getPrefixHitRate(arrived),
        timeToFirstTokenMilliseconds: getPercentiles(arrived.flatMap(record => record.firstTokenMilliseconds ?? [])),
    };
}
