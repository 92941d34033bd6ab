/*
 * Chooses among weighted items.
 */

/**
 * Chooses an index with a probability that is proportional to its weight.
 * @param weights - The weights, with any sum.
 * @param fraction - A random number from 0 up to but not including 1, which determines the choice.
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
