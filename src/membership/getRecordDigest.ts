/*
 * Computes the digest by which two copies of a record are compared.
 */
import { createHash } from "node:crypto";
import { ProcessRecord } from "../protocol";

/**
 * Gets a 64-bit digest of the fields that identify a record and determine its order: instance id, record number,
 * incarnation and state.
 * @param record - The record.
 */
export function getRecordDigest(record: ProcessRecord): bigint {
    const text = `${record.instanceId}\n${record.recordNumber}\n${record.incarnation}\n${record.state}`;
    return createHash("sha256").update(text).digest().readBigUInt64BE();
}
