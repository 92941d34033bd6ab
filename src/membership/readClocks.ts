/*
 * The start of a duration that must not be measured too short.
 */
import { Clock } from "../runtime";
import { ClockReading } from "./ClockReading";

/** Reads both clocks. */
export function readClocks(clock: Clock): ClockReading {
    return {
        monotonicMilliseconds: clock.getMonotonicMilliseconds(),
        wallMilliseconds: clock.getWallMilliseconds(),
    };
}
