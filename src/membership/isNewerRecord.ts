/*
 * Defines the order of the records of one instance.
 */
import { ProcessRecord, ProcessState } from "../protocol";

/** Ranks of the states, from least to most final, for records with the same number and incarnation. */
const stateRanks: Readonly<Record<ProcessState, number>> = {
    [ProcessState.UNSPECIFIED]: 0,
    [ProcessState.STARTING]: 1,
    [ProcessState.READY]: 2,
    [ProcessState.LOST]: 3,
    [ProcessState.LEAVING]: 4,
    [ProcessState.GONE]: 5,
};

/**
 * Returns whether a record replaces another of the same instance. The order is total, so that any order of arrival
 * leads to the same directory.
 * @param record - The record that has arrived.
 * @param current - The record in the directory.
 */
export function isNewerRecord(record: ProcessRecord, current: ProcessRecord): boolean {
    if (record.recordNumber !== current.recordNumber) {
        return record.recordNumber > current.recordNumber;
    }
    if (record.incarnation !== current.incarnation) {
        return record.incarnation > current.incarnation;
    }
    return stateRanks[record.state] > stateRanks[current.state];
}
