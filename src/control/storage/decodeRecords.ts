/*
 * Decodes the records of a frame whose checksum is valid.
 */
import { create } from "@bufbuild/protobuf";
import { createInvariantError } from "../../errors";
import { LogEntrySchema } from "../../protocol";
import { entryHeaderBytes } from "./entryHeaderBytes";
import { LogRecord } from "./LogRecord";
import { RecordKind } from "./RecordKind";

/** The size of a record that holds only its kind (1) and an index (8), in bytes. */
const indexRecordBytes = 9;

/**
 * Decodes the records of a frame.
 * @param payload - The frame's payload.
 */
export function decodeRecords(payload: Buffer): readonly LogRecord[] {
    const records: LogRecord[] = [];
    let offset = 0;
    while (offset < payload.length) {
        const kind: RecordKind = payload.readUInt8(offset);
        switch (kind) {
            case RecordKind.Entry: {
                const dataBytes = payload.readUInt32LE(offset + 26);
                const dataStart = offset + entryHeaderBytes;
                const entry = create(LogEntrySchema, {
                    term: payload.readBigUInt64LE(offset + 1),
                    index: payload.readBigUInt64LE(offset + 9),
                    timeMilliseconds: payload.readBigUInt64LE(offset + 17),
                    kind: payload.readUInt8(offset + 25),
                    data: payload.subarray(dataStart, dataStart + dataBytes),
                });
                records.push({ kind, entry });
                offset = dataStart + dataBytes;
                break;
            }
            case RecordKind.Truncation:
            case RecordKind.Reset:
                records.push({ kind, index: payload.readBigUInt64LE(offset + 1) });
                offset += indexRecordBytes;
                break;
            default:
                throw createInvariantError("A frame with a valid checksum holds a record of an unknown kind", { kind });
        }
    }
    return records;
}
