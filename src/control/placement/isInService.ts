/*
 * Tells which backend servers count for the capacity floor.
 */
import { ProcessRecord, ProcessState } from "../../protocol";

/**
 * Tells whether a backend server serves requests, as far as its sidecar says.
 * @param record - The sidecar's record.
 */
export function isInService(record: ProcessRecord): boolean {
    return record.state === ProcessState.READY && record.version !== "";
}
