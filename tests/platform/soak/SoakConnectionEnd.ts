/*
 * How a connection of a soak's callers ended while a request was open on it.
 */
import { SoakConnectionUse } from "./SoakConnectionUse";
import { SoakEndReason } from "./SoakEndReason";

/** The end of a connection. */
export interface SoakConnectionEnd {
    reason: SoakEndReason;
    /** What the operating system or the parser reported. */
    detail: string;
    /** Whether the whole request had been sent. */
    isWhole: boolean;
    /** The caller's time that was left, in milliseconds. */
    remainingMilliseconds: number;
    /** The caller's port; undefined where no connection was begun. */
    port: number | undefined;
    use: SoakConnectionUse;
    /** How long the connection was idle before the request, in milliseconds; 0 for a fresh one. */
    idleMilliseconds: number;
    /** The idle limit that the last response on the connection stated, in milliseconds; 0 for a fresh one. */
    statedMilliseconds: number;
}
