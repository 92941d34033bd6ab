/*
 * The comparison of two copies of a directory.
 */

/**
 * Gets the numbers of the buckets whose digests differ.
 * @param ownDigests - The digests of this process's buckets.
 * @param otherDigests - The digests of the other process's buckets; missing ones count as those of empty buckets.
 */
export function getDifferingBuckets(ownDigests: readonly bigint[], otherDigests: readonly bigint[]): number[] {
    return ownDigests.flatMap((digest, bucket) => digest === (otherDigests[bucket] ?? 0n) ? [] : [bucket]);
}
