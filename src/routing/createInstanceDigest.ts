/*
 * Digests of instance ids. A digest is computed once for each instance, so that a routing decision needs only integer
 * arithmetic.
 */
import { createHash } from "node:crypto";
import { InstanceDigest } from "./InstanceDigest";

/**
 * Creates the digest of an instance id.
 * @param instanceId - The id, or any other key to hash.
 */
export function createInstanceDigest(instanceId: string): InstanceDigest {
    const bytes = createHash("sha256").update(instanceId).digest();
    return { first: bytes.readUInt32BE(0), second: bytes.readUInt32BE(4) };
}
