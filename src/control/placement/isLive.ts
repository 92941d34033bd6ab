/*
 * Tells which sidecars rollouts count with.
 */
import { ProcessRecord, ProcessState } from "../../protocol";

/**
 * Tells whether a sidecar is there and means to stay.
 * @param record - The sidecar's record; undefined where there is none.
 */
export function isLive(record: ProcessRecord | undefined): record is ProcessRecord {
    return record?.state === ProcessState.READY || record?.state === ProcessState.STARTING;
}
