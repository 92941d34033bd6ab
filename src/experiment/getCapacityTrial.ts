/*
 * Decides whether a run sustained its load.
 */
import { CapacityTrial } from "./CapacityTrial";
import { ExperimentOptions } from "./ExperimentOptions";
import { RunOutcome } from "./RunOutcome";

const millisecondsPerSecond = 1_000;
const maximumFirstTokenMilliseconds = 1_100;
const maximumInterTokenMilliseconds = 39;
const requiredShare = 0.95;
const maximumTrustedLagMilliseconds = 20;

/**
 * Gets the result of one trial of a capacity search.
 * @param outcome - The outcome of the trial's run.
 * @param options - The load and the length of the warm-up, whose requests do not count.
 */
export function getCapacityTrial(
    outcome: RunOutcome,
    options: Pick<ExperimentOptions, "load" | "warmUpSeconds">,
): CapacityTrial {
    const completions = outcome.records.filter(({ request }) => {
        return request.kind === "completion"
            && request.arrivalMilliseconds >= options.warmUpSeconds * millisecondsPerSecond;
    });
    const onTime = completions.filter(({ firstTokenMilliseconds }) => {
        return firstTokenMilliseconds !== undefined && firstTokenMilliseconds <= maximumFirstTokenMilliseconds;
    });
    const interTokenMilliseconds = completions.flatMap(record => record.interTokenMilliseconds);
    const firstTokenShare = getShare(onTime.length, completions.length);
    const gapShare = getShare(
        interTokenMilliseconds.filter(time => time <= maximumInterTokenMilliseconds).length,
        interTokenMilliseconds.length,
    );
    return {
        load: options.load,
        firstTokenShare,
        gapShare,
        isBorne: firstTokenShare >= requiredShare && gapShare >= requiredShare,
        isTrustworthy: outcome.eventLoopLagMilliseconds <= maximumTrustedLagMilliseconds,
    };
}

function getShare(part: number, whole: number): number {
    return whole === 0 ? 1 : part / whole;
}
