/*
 * Calculates Jain's fairness index.
 */

/**
 * Gets Jain's fairness index: 1 if all get the same part of their fair share, 1/n if one of n gets everything.
 * @param servedShares - The part of its fair share that each participant got.
 */
export function getJainIndex(servedShares: readonly number[]): number {
    const sum = servedShares.reduce((total, part) => total + part, 0);
    const sumOfSquares = servedShares.reduce((total, part) => total + part * part, 0);
    return sumOfSquares === 0 ? 1 : sum * sum / (servedShares.length * sumOfSquares);
}
