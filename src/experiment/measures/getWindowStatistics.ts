/*
 * Calculates statistics of a time window within a run.
 */
import { RequestRecord } from "../client";
import { getPercentiles } from "./getPercentiles";
import { getPrefixHitRate } from "./getPrefixHitRate";
import { WindowStatistics } from "./WindowStatistics";

/**
 * Gets statistics of the completions that arrived within a time window.
 * @param records - The records of the run's requests; only completions count.
 * @param fromMilliseconds - The start of the window, in milliseconds from the workload's start.
 * @param toMilliseconds - The end of the window, exclusive, in milliseconds from the workload's start.
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
