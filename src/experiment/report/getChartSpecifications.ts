/*
 * Creates the specifications of a report's charts.
 */
import { ExperimentResult } from "../ExperimentResult";
import { SecondSample } from "../measures";
import { ChartSpecification } from "./ChartSpecification";

/**
 * Gets the specifications of the charts of a result.
 * @param result - The result of the experiment.
 */
export function getChartSpecifications(result: ExperimentResult): readonly ChartSpecification[] {
    const { policies } = result;
    const names = policies.map(policy => policy.policy);
    const percentiles = ["p50", "p95", "p99"] as const;
    const lines = [
        getTimelineChart(result, "Time to first token, p95 of each second", "ms", sample => {
            return sample.timeToFirstTokenMilliseconds;
        }),
        getTimelineChart(result, "Prefix hit rate of each second", "share", sample => sample.prefixHitRate),
        getTimelineChart(result, "Wasted recomputation of each second", "tokens", sample => sample.wastedTokens),
    ];
    const bars: ChartSpecification[] = (["all", "short", "long"] as const).map(group => ({
        title: `Time to first token, ${group} requests`,
        type: "bar",
        labels: names,
        unit: "ms",
        datasets: percentiles.map(percentile => ({
            label: percentile,
            data: policies.map(policy => policy.timeToFirstTokenMilliseconds[group][percentile]),
        })),
    }));
    return [...bars, ...lines, getShareChart(result)];
}

function getTimelineChart(
    result: ExperimentResult,
    title: string,
    unit: string,
    getValue: (sample: SecondSample) => number,
): ChartSpecification {
    return {
        title,
        type: "line",
        labels: [...Array(result.seconds).keys()],
        unit,
        datasets: result.policies.map(policy => ({ label: policy.policy, data: policy.timeline.map(getValue) })),
    };
}

/** Gets the chart of each workspace's served share of its demand. */
function getShareChart(result: ExperimentResult): ChartSpecification {
    const labels = result.policies[0]?.shares.map(share => share.name) ?? [];
    return {
        title: "Share of the requested prompt tokens served within the measured time",
        type: "bar",
        labels,
        unit: "share",
        datasets: result.policies.map(policy => ({
            label: policy.policy,
            data: policy.shares.map(share => share.demandTokens === 0 ? 1 : share.servedTokens / share.demandTokens),
        })),
    };
}
