/*
 * The cost model of a backend server. Prefill speed is measured over busy periods, in which at least one prefill was in
 * progress, so that prefills side by side are not counted twice.
 */
import { Clock } from "../../runtime";
import { CostModel } from "./CostModel";

const millisecondsPerSecond = 1_000;
const leastPeriodMilliseconds = 50;
const longestPeriodMilliseconds = 1_000;
const smoothingMilliseconds = 5_000;
const runSmoothing = 0.05;
const greatestSpeedChange = 20;
const initialCompletionTokens = 64;

/** The options of a cost model. */
interface CostModelOptions {
    clock: Clock;
    prefillTokensPerSecond: number;
    completionTokenMilliseconds: number;
    maximumRunning: number;
}

/** Creates a cost model. */
export function createCostModel(options: CostModelOptions): CostModel {
    const { clock, completionTokenMilliseconds, maximumRunning } = options;
    let tokensPerSecond = options.prefillTokensPerSecond;
    let averageCompletionTokens = initialCompletionTokens;
    let averageHoldMilliseconds = 0;
    let prefilling = 0;
    let periodStartMilliseconds = 0;
    let periodTokens = 0;
    return {
        getPrefillMilliseconds,
        getChargeMilliseconds,
        getActualMilliseconds,
        getHoldMilliseconds: () => averageHoldMilliseconds,
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
            return averageHoldMilliseconds / maximumRunning;
        }
        return getPrefillMilliseconds(uncachedTokens) + completionTokens * completionTokenMilliseconds;
    }

    function beginPrefill(): void {
        if (prefilling === 0) {
            startPeriod();
        }
        prefilling++;
    }

    function endPrefill(uncachedTokens: number): void {
        prefilling--;
        periodTokens += uncachedTokens;
        const periodMilliseconds = clock.getMonotonicMilliseconds() - periodStartMilliseconds;
        if (prefilling === 0 || periodMilliseconds >= longestPeriodMilliseconds) {
            learnSpeed(periodMilliseconds);
            startPeriod();
        }
    }

    function addRun(holdMilliseconds: number, completionTokens: number | undefined): void {
        averageHoldMilliseconds = averageHoldMilliseconds === 0
            ? holdMilliseconds
            : averageHoldMilliseconds + runSmoothing * (holdMilliseconds - averageHoldMilliseconds);
        if (completionTokens !== undefined) {
            averageCompletionTokens += runSmoothing * (completionTokens - averageCompletionTokens);
        }
    }

    function startPeriod(): void {
        periodStartMilliseconds = clock.getMonotonicMilliseconds();
        periodTokens = 0;
    }

    /** Moves the speed towards that of a busy period, by how long the period was. */
    function learnSpeed(periodMilliseconds: number): void {
        if (periodMilliseconds < leastPeriodMilliseconds || periodTokens === 0) {
            return;
        }
        const seen = periodTokens * millisecondsPerSecond / periodMilliseconds;
        const smoothing = Math.min(1, periodMilliseconds / smoothingMilliseconds);
        const learned = tokensPerSecond + smoothing * (seen - tokensPerSecond);
        const least = options.prefillTokensPerSecond / greatestSpeedChange;
        tokensPerSecond = Math.min(options.prefillTokensPerSecond * greatestSpeedChange, Math.max(least, learned));
    }
}
