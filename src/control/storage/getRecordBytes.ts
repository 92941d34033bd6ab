/*
 * Calculates the size of records on disk.
 */
import { assertNever } from "../../errors";
import { entryHeaderBytes } from "./entryHeaderBytes";
import { LogRecord } from "./LogRecord";
import { RecordKind } from "./RecordKind";

/** The size of a record that holds only its kind (1) and an index (8), in bytes. */
const indexRecordBytes = 9;

/**
 * Gets the encoded size of a record, in bytes.
 * @param record - The record.
 */
export function getRecordBytes(record: LogRecord): number {
    switch (record.kind) {
        case RecordKind.Entry:
            return entryHeaderBytes + record.entry.data.length;
        case RecordKind.Truncation:
        case RecordKind.Reset:
            return indexRecordBytes;
        default:
            return assertNever(record);
    }
}
