/*
 * Decides which sidecars take part in rollouts.
 */
import { ProcessRecord, ProcessState } from "../../protocol";

/**
 * Returns whether a sidecar is running and not about to leave.
 * @param record - The directory record of the sidecar; undefined where it has none.
 */
export function isLive(record: ProcessRecord | undefined): record is ProcessRecord {
    return record?.state === ProcessState.READY || record?.state === ProcessState.STARTING;
}
