/*
 * Where two copies of a directory differ.
 */

/**
 * Gets the numbers of the buckets whose digests differ.
 * @param ownDigests - This process's digests.
 * @param otherDigests - The other process's; fewer where it holds nothing.
 */
export function getDifferingBuckets(ownDigests: readonly bigint[], otherDigests: readonly bigint[]): number[] {
    return ownDigests.flatMap((digest, bucket) => digest === (otherDigests[bucket] ?? 0n) ? [] : [bucket]);
}
