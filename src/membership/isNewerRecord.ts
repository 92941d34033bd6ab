/*
 * The order of two records of one instance.
 */
import { ProcessRecord, ProcessState } from "../protocol";

/** States by how final they are, for records of equal number. */
const stateRanks: Readonly<Record<ProcessState, number>> = {
    [ProcessState.UNSPECIFIED]: 0,
    [ProcessState.STARTING]: 1,
    [ProcessState.READY]: 2,
    [ProcessState.LOST]: 3,
    [ProcessState.LEAVING]: 4,
    [ProcessState.GONE]: 5,
};

/**
 * Tells whether a record replaces another of the same instance. The order is total, so that any order of arrival
 * leads to the same directory.
 * @param record - The record that has come.
 * @param current - The record that is held.
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
