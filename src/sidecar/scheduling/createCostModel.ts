/*
 * The cost model of a backend server. The prefill speed is measured over busy periods, in which at least one prefill is
 * in progress, so that the time of concurrent prefills is not counted twice.
 */
import { Clock } from "../../runtime";
import { CostModel } from "./CostModel";

const millisecondsPerSecond = 1_000;
const minimumPeriodMilliseconds = 50;
const maximumPeriodMilliseconds = 1_000;
const speedSmoothingMilliseconds = 5_000;
const runSmoothingFactor = 0.05;
const maximumSpeedFactor = 20;
const initialCompletionTokens = 64;

/** The options of a cost model. */
interface CostModelOptions {
    /** The clock that prefills are measured by. */
    clock: Clock;
    /** The initial estimate of the engine's prefill speed. */
    prefillTokensPerSecond: number;
    /** What one token of a response costs the engine: its share of the step of a batch. */
    completionTokenMilliseconds: number;
    /** The number of requests that may run at the same time at the backend server. */
    maximumRunning: number;
}

/** Creates a cost model. */
export function createCostModel(options: CostModelOptions): CostModel {
    const { clock, completionTokenMilliseconds, maximumRunning } = options;
    let tokensPerSecond = options.prefillTokensPerSecond;
    let averageCompletionTokens = initialCompletionTokens;
    let averageRunMilliseconds = 0;
    let prefillsInFlight = 0;
    let periodStartMilliseconds = 0;
    let periodTokens = 0;
    return {
        getPrefillMilliseconds,
        getChargeMilliseconds,
        getActualMilliseconds,
        getAverageRunMilliseconds: () => averageRunMilliseconds,
        beginPrefill,
        endPrefill,
        addRun,
    };

    function getPrefillMilliseconds(uncachedTokens: number): number {
        return uncachedTokens * millisecondsPerSecond / tokensPerSecond;
    }

    function getChargeMilliseconds(uncachedTokens: number, maximumTokens: number): number {
        return getActualMilliseconds(uncachedTokens, Math.min(maximumTokens, averageCompletionTokens));
    }

    function getActualMilliseconds(uncachedTokens: number, completionTokens: number): number {
        if (uncachedTokens === 0 && completionTokens === 0) {
            return averageRunMilliseconds / maximumRunning;
        }
        return getPrefillMilliseconds(uncachedTokens) + completionTokens * completionTokenMilliseconds;
    }

    function beginPrefill(): void {
        if (prefillsInFlight === 0) {
            startPeriod();
        }
        prefillsInFlight++;
    }

    function endPrefill(uncachedTokens: number): void {
        prefillsInFlight--;
        periodTokens += uncachedTokens;
        const periodMilliseconds = clock.getMonotonicMilliseconds() - periodStartMilliseconds;
        if (prefillsInFlight === 0 || periodMilliseconds >= maximumPeriodMilliseconds) {
            updateSpeed(periodMilliseconds);
            startPeriod();
        }
    }

    function addRun(runMilliseconds: number, completionTokens: number | undefined): void {
        averageRunMilliseconds = averageRunMilliseconds === 0
            ? runMilliseconds
            : averageRunMilliseconds + runSmoothingFactor * (runMilliseconds - averageRunMilliseconds);
        if (completionTokens !== undefined) {
            averageCompletionTokens += runSmoothingFactor * (completionTokens - averageCompletionTokens);
        }
    }

    function startPeriod(): void {
        periodStartMilliseconds = clock.getMonotonicMilliseconds();
        periodTokens = 0;
    }

    /** Smooths the speed towards that of a busy period; longer periods have more weight. */
    function updateSpeed(periodMilliseconds: number): void {
        if (periodMilliseconds < minimumPeriodMilliseconds || periodTokens === 0) {
            return;
        }
        const measuredTokensPerSecond = periodTokens * millisecondsPerSecond / periodMilliseconds;
        const smoothingFactor = Math.min(1, periodMilliseconds / speedSmoothingMilliseconds);
        const smoothedTokensPerSecond = tokensPerSecond + smoothingFactor * (measuredTokensPerSecond - tokensPerSecond);
        const minimumTokensPerSecond = options.prefillTokensPerSecond / maximumSpeedFactor;
        tokensPerSecond = Math.min(
            options.prefillTokensPerSecond * maximumSpeedFactor,
            Math.max(minimumTokensPerSecond, smoothedTokensPerSecond),
        );
    }
}
