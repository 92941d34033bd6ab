/*
 * Divides a directory into buckets, so that two copies can be compared without sending all records.
 */
import { bucketCount } from "./bucketCount";

const multiplier = 31;

/**
 * Gets the bucket of an instance id.
 * @param instanceId - The instance's id.
 * @returns The bucket's index.
 */
export function getBucket(instanceId: string): number {
    let sum = 0;
    for (let index = 0; index < instanceId.length; index++) {
        sum = (Math.imul(sum, multiplier) + instanceId.charCodeAt(index)) >>> 0;
    }
    return sum % bucketCount;
}
