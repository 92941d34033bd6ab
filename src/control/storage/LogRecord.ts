/*
 * A record of a segment file.
 */
import { LogEntry } from "../../protocol";
import { RecordKind } from "./RecordKind";

/** A record of a segment file. */
export type LogRecord =
    | { kind: RecordKind.Entry; entry: LogEntry; }
    | { kind: RecordKind.Truncation; index: bigint; }
    | { kind: RecordKind.Reset; index: bigint; };
