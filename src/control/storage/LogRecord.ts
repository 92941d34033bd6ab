/*
 * The records that make up a segment file.
 */
import { LogEntry } from "../../protocol";
import { RecordKind } from "./RecordKind";

/** A record of a segment file; the index of a truncation or reset is explained at `RecordKind`. */
export type LogRecord =
    | { kind: RecordKind.Entry; entry: LogEntry; }
    | { kind: RecordKind.Truncation; index: bigint; }
    | { kind: RecordKind.Reset; index: bigint; };
