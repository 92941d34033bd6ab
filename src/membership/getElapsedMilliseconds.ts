/*
 * Measures a duration that must not come out too short. The monotonic clock stops while a virtual machine is suspended,
 * so the wall clock is read too and the longer duration counts.
 */
import { Clock } from "../runtime";
import { ClockReading } from "./ClockReading";

/**
 * Gets the time that has passed since a reading, in milliseconds.
 * @param clock - The process's clock.
 * @param start - The clocks at the start of the duration.
 */
export function getElapsedMilliseconds(clock: Clock, start: ClockReading): number {
    return Math.max(
        clock.getMonotonicMilliseconds() - start.monotonicMilliseconds,
        clock.getWallMilliseconds() - start.wallMilliseconds,
    );
}
