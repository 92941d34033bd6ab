/*
 * Turns the answers of a calculation into the users' measures.
 */
import { RefusalReason } from "../../../src/protocol";
import { SimulatedResponse, SimulationResult } from "./runSimulation";

/** Gets the measures of a calculation. */
export function summarize(result: SimulationResult): Record<string, unknown> {
    const completed = result.responses.filter(answer => Number.isFinite(answer.firstTokenMilliseconds));
    const others = completed.filter(answer => !answer.request.isExcess);
    const excess = result.responses.filter(answer => answer.request.isExcess);
    const promptTokens = sum(completed.map(answer => answer.request.promptTokens));
    const refused: Record<string, number> = {};
    for (const answer of result.responses.filter(other => other.refusal !== undefined)) {
        const name = RefusalReason[answer.refusal!];
        refused[name] = (refused[name] ?? 0) + 1;
    }
    return {
        requests: result.responses.length,
        refused,
        dispatches: round(sum(result.responses.map(answer => answer.dispatches)) / result.responses.length),
        hit: round(sum(completed.map(answer => answer.cachedTokens)) / promptTokens),
        waste: round(result.wastedTokens / Math.max(1, result.computedTokens)),
        wastedMillionTokens: round(result.wastedTokens / 1_000_000),
        othersP99: getPercentile(others, 0.99),
        othersRefused: result.responses.length - excess.length - others.length,
        excessRequests: excess.length,
        excessCompleted: completed.length - others.length,
        p50: getPercentile(completed, 0.5),
        p99: getPercentile(completed, 0.99),
        shortP50: getPercentile(completed.filter(answer => answer.request.isShort), 0.5),
        shortP99: getPercentile(completed.filter(answer => answer.request.isShort), 0.99),
        longP50: getPercentile(completed.filter(answer => !answer.request.isShort), 0.5),
        longP99: getPercentile(completed.filter(answer => !answer.request.isShort), 0.99),
    };
}

function getPercentile(responses: readonly SimulatedResponse[], fraction: number): number {
    const sorted = responses.map(answer => answer.firstTokenMilliseconds).sort((left, right) => left - right);
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
