/*
 * Formats the result of a demonstration as a table.
 */
import Table from "cli-table3";
import { DemoResult } from "./DemoResult";

/**
 * Gets the table of a result, with its checks.
 * @param result - The result of the demonstration.
 */
export function getDemoTable(result: DemoResult): string {
    const { p50, p95, p99 } = result.timeToFirstTokenMilliseconds;
    const refused = Object.entries(result.refused).map(([code, count]) => `${code} ${count}`).join(", ");
    const waste = result.wastedRecomputationShare;
    const table = new Table({ style: { head: [], border: [] } });
    table.push(
        ["requests", String(result.requests)],
        ["completed", String(result.completed)],
        ["refused", refused === "" ? "0" : refused],
        ["prefix hit rate", getPercent(result.prefixHitRate)],
        ["time to first token p50 / p95 / p99", `${p50.toFixed(0)} / ${p95.toFixed(0)} / ${p99.toFixed(0)} ms`],
        ["wasted recomputation", waste === undefined ? "not followed" : getPercent(waste)],
        ["releases asked / run", `${result.releasesRequested} / ${result.releasesRun}`],
        ...result.checks.map(check => [
            `${check.holds ? "holds" : "FAILS"}: ${check.name}`,
            check.details,
        ]),
    );
    return table.toString();
}

function getPercent(share: number): string {
    return `${(share * 100).toFixed(1)}%`;
}
