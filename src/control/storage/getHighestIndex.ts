/*
 * Tells how far a segment's records reach.
 */
import { assertNever } from "../../errors";
import { LogRecord } from "./LogRecord";
import { RecordKind } from "./RecordKind";

/**
 * Gets the highest index that records speak of; 0 where there are none.
 * @param records - The records.
 */
export function getHighestIndex(records: readonly LogRecord[]): bigint {
    return records.reduce((highest, record) => {
        const index = getIndex(record);
        return index > highest ? index : highest;
    }, 0n);
}

/** Gets the index that a record speaks of. */
function getIndex(record: LogRecord): bigint {
    switch (record.kind) {
        case RecordKind.Entry:
            return record.entry.index;
        case RecordKind.Truncation:
        case RecordKind.Reset:
            return record.index;
        default:
            return assertNever(record);
    }
}
