/*
 * What a segment file was found to hold.
 */
import { LogRecord } from "./LogRecord";

/** The content of a segment file. */
export interface SegmentContent {
    /** The records of all frames that are whole, up to the first that is not. */
    records: readonly LogRecord[];
    /** How many frames are whole. */
    validFrameCount: number;
    /** The bytes up to the end of the last whole frame; 0 where not even the header is whole. */
    validBytes: number;
    /** The state of what follows the whole frames. */
    tail: SegmentTail;
}

/** How a segment ends. */
type SegmentTail =
    /** The last frame is whole. */
    | { kind: "whole"; }
    /** A write that was never acknowledged was cut short by a crash. */
    | { kind: "torn"; }
    /** Something acknowledged is damaged. */
    | { kind: "corrupt"; reason: string; };
