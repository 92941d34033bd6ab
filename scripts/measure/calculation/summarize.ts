/*
 * Computes the measures of a simulation that users see, such as latencies, refusals and the cache hit rate.
 */
import { RefusalReason } from "../../../src/protocol";
import { SimulatedResponse, SimulationResult } from "./runSimulation";

/**
 * Gets the measures of a simulation.
 * @param result - The result of the simulation.
 */
export function summarize(result: SimulationResult): Record<string, unknown> {
    const completed = result.responses.filter(response => Number.isFinite(response.firstTokenMilliseconds));
    const others = completed.filter(response => !response.request.isExcess);
    const excess = result.responses.filter(response => response.request.isExcess);
    const promptTokens = sum(completed.map(response => response.request.promptTokens));
    const refused: Record<string, number> = {};
    for (const response of result.responses.filter(each => each.refusal !== undefined)) {
        const name = RefusalReason[response.refusal!];
        refused[name] = (refused[name] ?? 0) + 1;
    }
    return {
        requests: result.responses.length,
        refused,
        dispatches: round(sum(result.responses.map(response => response.dispatches)) / result.responses.length),
        hit: round(sum(completed.map(response => response.cachedTokens)) / promptTokens),
        waste: round(result.wastedTokens / Math.max(1, result.computedTokens)),
        wastedMillionTokens: round(result.wastedTokens / 1_000_000),
        othersP99: getPercentile(others, 0.99),
        othersRefused: result.responses.length - excess.length - others.length,
        excessRequests: excess.length,
        excessCompleted: completed.length - others.length,
        p50: getPercentile(completed, 0.5),
        p99: getPercentile(completed, 0.99),
        shortP50: getPercentile(completed.filter(response => response.request.isShort), 0.5),
        shortP99: getPercentile(completed.filter(response => response.request.isShort), 0.99),
        longP50: getPercentile(completed.filter(response => !response.request.isShort), 0.5),
        longP99: getPercentile(completed.filter(response => !response.request.isShort), 0.99),
    };
}

function getPercentile(responses: readonly SimulatedResponse[], fraction: number): number {
    const sorted = responses.map(response => response.firstTokenMilliseconds).sort((left, right) => left - right);
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
