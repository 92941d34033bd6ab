/*
 * The decoded content of a segment file.
 */
import { LogRecord } from "./LogRecord";

/** The content of a segment file. */
export interface SegmentContent {
    /** The records of all frames before the first invalid one. */
    records: readonly LogRecord[];
    /** The number of valid frames before the first invalid one. */
    validFrameCount: number;
    /** The size up to the end of the last of these frames, in bytes; 0 if the file's header is invalid. */
    validBytes: number;
    /** The state of the bytes after these frames. */
    tail: SegmentTail;
}

/** How a segment ends. */
type SegmentTail =
    /** The file ends with a valid frame. */
    | { kind: "intact"; }
    /** A torn write: a crash interrupted a write that was never acknowledged. */
    | { kind: "torn"; }
    /** Acknowledged data is damaged. */
    | { kind: "corrupt"; reason: string; };
