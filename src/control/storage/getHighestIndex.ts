/*
 * Determines which entries a segment's records concern, so that covered segments can be removed.
 */
import { assertNever } from "../../errors";
import { LogRecord } from "./LogRecord";
import { RecordKind } from "./RecordKind";

/**
 * Gets the highest index among records; 0 if there are none.
 * @param records - The records.
 */
export function getHighestIndex(records: readonly LogRecord[]): bigint {
    return records.reduce((highest, record) => {
        const index = getIndex(record);
        return index > highest ? index : highest;
    }, 0n);
}

/** Gets the index of a record's entry, truncation or reset. */
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
