/*
 * Maintains a process's own record. Its numbers start from the wall clock in milliseconds, so that a restarted process
 * has a higher number than its previous run. If that fails, for instance because the clock was set back, the process
 * learns the higher number from a control member and continues above it.
 */
import { create, equals } from "@bufbuild/protobuf";
import { ProcessRecord, ProcessRecordSchema, ProcessState } from "../protocol";
import { Clock } from "../runtime";
import { OwnRecord } from "./OwnRecord";
import { OwnRecordChange } from "./OwnRecordChange";
import { ProcessIdentity } from "./ProcessIdentity";

/**
 * Creates the record of a starting process.
 * @param identity - The process's identity.
 * @param clock - The process's clock.
 */
export function createOwnRecord(identity: ProcessIdentity, clock: Clock): OwnRecord {
    let record = create(ProcessRecordSchema, {
        ...identity,
        state: ProcessState.STARTING,
        recordNumber: BigInt(Math.floor(clock.getWallMilliseconds())),
    });
    return { get: () => record, update, reconcile };

    function update(change: OwnRecordChange): boolean {
        const state = isLeavingState(record.state) ? getStateAfterLeaving(record.state, change.state) : change.state;
        const next = { ...change, state: state ?? record.state };
        const hasChanged = !equals(ProcessRecordSchema, record, create(ProcessRecordSchema, { ...record, ...next }));
        if (hasChanged) {
            replaceRecord(next, record.recordNumber);
        }
        return hasChanged;
    }

    function reconcile(heldRecord: ProcessRecord): { hasChanged: boolean; isLeavingRequested: boolean; } {
        const isSameIncarnation = heldRecord.incarnation === record.incarnation;
        const isLeavingRequested = isSameIncarnation && isLeavingState(heldRecord.state)
            && !isLeavingState(record.state);
        if (isLeavingRequested) {
            replaceRecord({ state: ProcessState.LEAVING }, getGreater(heldRecord.recordNumber, record.recordNumber));
            return { hasChanged: true, isLeavingRequested };
        }
        const mustSupersede = heldRecord.recordNumber > record.recordNumber
            || heldRecord.recordNumber === record.recordNumber
                && (!isSameIncarnation || heldRecord.state !== record.state);
        if (mustSupersede) {
            replaceRecord({}, heldRecord.recordNumber);
        }
        return { hasChanged: mustSupersede, isLeavingRequested };
    }

    /** Replaces the record by one whose number is greater than the given one. */
    function replaceRecord(change: OwnRecordChange, exceededNumber: bigint): void {
        record = create(ProcessRecordSchema, { ...record, ...change, recordNumber: exceededNumber + 1n });
    }
}

function isLeavingState(state: ProcessState): boolean {
    return state === ProcessState.LEAVING || state === ProcessState.GONE;
}

/** Gets the next state of a process that is leaving: it can only change to `GONE`. */
function getStateAfterLeaving(state: ProcessState, desired: ProcessState | undefined): ProcessState {
    return desired === ProcessState.GONE ? ProcessState.GONE : state;
}

function getGreater(first: bigint, second: bigint): bigint {
    return first > second ? first : second;
}
