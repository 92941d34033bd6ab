/*
 * The size of records on disk.
 */
import { assertNever } from "../../errors";
import { entryHeaderBytes } from "./entryHeaderBytes";
import { LogRecord } from "./LogRecord";
import { RecordKind } from "./RecordKind";

const indexRecordBytes = 9;

/**
 * Gets the bytes that a record takes in a frame.
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
