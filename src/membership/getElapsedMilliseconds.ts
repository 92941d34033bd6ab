/*
 * The length of a duration that must not be measured too short. The monotonic clock stands still while a virtual
 * machine is suspended, so that the wall clock is asked too and the longer duration counts.
 */
import { Clock } from "../runtime";
import { ClockReading } from "./ClockReading";

/**
 * Gets the time that has passed since a reading, in milliseconds.
 * @param clock - The passing of time.
 * @param start - The reading at the start.
 */
export function getElapsedMilliseconds(clock: Clock, start: ClockReading): number {
    return Math.max(
        clock.getMonotonicMilliseconds() - start.monotonicMilliseconds,
        clock.getWallMilliseconds() - start.wallMilliseconds,
    );
}
