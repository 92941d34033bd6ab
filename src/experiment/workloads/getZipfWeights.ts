/*
 * The popularity of documents.
 */

/** Gets shares that fall with the rank, as Zipf's law has it. */
export function getZipfWeights(count: number): readonly number[] {
    return [...Array(count).keys()].map(index => 1 / (index + 1));
}
