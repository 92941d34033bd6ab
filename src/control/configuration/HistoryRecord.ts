/*
 * One accepted change as operators see it, in a form that can be written as JSON.
 */
import { SettingDifference } from "./SettingDifference";

/** An accepted change. */
export interface HistoryRecord {
    /** The revision that the change created. */
    revision: number;
    /** The change's id. */
    changeId: string;
    /** The name of the change's author. */
    author: string;
    /** The time at which the change was accepted, by the leader's clock, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** The settings that the change modified. */
    differences: readonly SettingDifference[];
}
