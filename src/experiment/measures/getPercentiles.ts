/*
 * Calculates percentiles of durations.
 */
import { Percentiles } from "./Percentiles";

/**
 * Gets percentiles by the nearest-rank method, rounded to 0.1 ms; zeros if there are no durations.
 * @param milliseconds - The durations in milliseconds, in any order.
 */
export function getPercentiles(milliseconds: readonly number[]): Percentiles {
    const sorted = milliseconds.toSorted((first, second) => first - second);
    return { p50: getRank(sorted, 0.5), p95: getRank(sorted, 0.95), p99: getRank(sorted, 0.99) };
}

function getRank(sorted: readonly number[], share: number): number {
    const value = sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
    return Math.round(value * 10) / 10;
}
