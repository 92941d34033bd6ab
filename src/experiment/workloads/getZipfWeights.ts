/*
 * The distribution of the documents' popularity.
 */

/**
 * Gets weights that follow Zipf's law, in descending order.
 * @param count - The number of weights.
 */
export function getZipfWeights(count: number): readonly number[] {
    return [...Array(count).keys()].map(index => 1 / (index + 1));
}
