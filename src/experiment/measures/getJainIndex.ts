/*
 * Jain's index of fairness.
 */

/**
 * Gets the index: 1 where all get the same part of what they are entitled to, 1/n where one of n gets everything.
 * @param servedShares - The part that each got, of what it is entitled to.
 */
export function getJainIndex(servedShares: readonly number[]): number {
    const sum = servedShares.reduce((total, part) => total + part, 0);
    const sumOfSquares = servedShares.reduce((total, part) => total + part * part, 0);
    return sumOfSquares === 0 ? 1 : sum * sum / (servedShares.length * sumOfSquares);
}
