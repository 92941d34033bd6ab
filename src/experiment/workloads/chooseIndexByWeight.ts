/*
 * Chooses among things of different shares.
 */

/**
 * Chooses an index by shares.
 * @param weights - The shares, of any sum.
 * @param fraction - A number from 0 up to 1 that makes the choice.
 */
export function chooseIndexByWeight(weights: readonly number[], fraction: number): number {
    const sum = weights.reduce((total, share) => total + share, 0);
    let remaining = fraction * sum;
    for (const [index, weight] of weights.entries()) {
        remaining -= weight;
        if (remaining < 0) {
            return index;
        }
    }
    return weights.length - 1;
}
