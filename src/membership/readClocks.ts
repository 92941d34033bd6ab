/*
 * Reads the start of a duration that must not be measured too short.
 */
import { Clock } from "../runtime";
import { ClockReading } from "./ClockReading";

/**
 * Reads the monotonic clock and the wall clock.
 * @param clock - The process's clock.
 */
export function readClocks(clock: Clock): ClockReading {
    return {
        monotonicMilliseconds: clock.getMonotonicMilliseconds(),
        wallMilliseconds: clock.getWallMilliseconds(),
    };
}
