/*
 * Measures the rate of starts, which differs between instances of unequal size and with what else the process does.
 */
import { Clock } from "../runtime";
import { StartRate } from "./StartRate";

/** The weight of the last interval in the mean interval between starts. */
const intervalWeight = 0.1;
/** The number of intervals from which requests are refused by their mean: about as many as the mean weighs. */
const minimumIntervals = 10;

/**
 * Creates the rate of a process that has just started.
 * @param clock - The clock.
 */
export function createStartRate(clock: Clock): StartRate {
    let lastMilliseconds: number | undefined;
    let lastWork = 1;
    let meanMilliseconds: number | undefined;
    let count = 0;
    return {
        recordStart,
        recordIdle: () => void (lastMilliseconds = undefined),
        getIntervalMilliseconds: () => meanMilliseconds,
        isKnown: () => count >= minimumIntervals,
        getAgeMilliseconds: () =>
            lastMilliseconds === undefined ? undefined : clock.getMonotonicMilliseconds() - lastMilliseconds,
    };

    function recordStart(work: number): void {
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        if (lastMilliseconds !== undefined) {
            const intervalMilliseconds = (nowMilliseconds - lastMilliseconds) / lastWork;
            meanMilliseconds ??= intervalMilliseconds;
            meanMilliseconds += intervalWeight * (intervalMilliseconds - meanMilliseconds);
            count += 1;
        }
        lastMilliseconds = nowMilliseconds;
        lastWork = work;
    }
}
