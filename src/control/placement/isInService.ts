/*
 * Decides which backend servers count towards the capacity floor.
 */
import { ProcessRecord, ProcessState } from "../../protocol";

/**
 * Returns whether a backend server serves requests, according to the record of its sidecar.
 * @param record - The directory record of the sidecar.
 */
export function isInService(record: ProcessRecord): boolean {
    return record.state === ProcessState.READY && record.version !== "";
}
