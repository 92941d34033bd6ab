/*
 * Spreads the returns of callers that are refused. Callers that returned together would meet the same overload again.
 */

/** The golden ratio's fraction: its multiples fill the unit interval evenly, however many callers there are. */
const goldenFraction = (Math.sqrt(5) - 1) / 2;

/**
 * Creates a sequence of delays. Each call gets the next one, between a minimum and the minimum plus a range, over which
 * the delays of successive callers are spread evenly.
 */
export function createReturnSpread(): (minimumMilliseconds: number, rangeMilliseconds: number) => number {
    let position = 0;
    return (minimumMilliseconds, rangeMilliseconds) => {
        position = (position + goldenFraction) % 1;
        return minimumMilliseconds + position * rangeMilliseconds;
    };
}
