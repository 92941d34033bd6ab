/*
 * One accepted change, as the history stores it.
 */
import { LevelChange } from "./LevelChange";

/** An accepted change. */
export interface HistoryEntry {
    /** The revision that the change created. */
    revision: bigint;
    /** The change's id. */
    changeId: string;
    /** The name of the change's author. */
    author: string;
    /** The time at which the change was accepted, by the leader's clock, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** The effect on each changed level, sorted so that a level comes directly before its descendants. */
    changes: readonly LevelChange[];
}
