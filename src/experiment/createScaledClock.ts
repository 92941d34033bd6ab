/*
 * A clock that runs slower than the machine's, so that a busy machine can keep up with the workload.
 */
import { Clock } from "../runtime";

/**
 * Creates a clock whose times are those of another, divided by a scale.
 * @param clock - The clock to scale.
 * @param scale - The number of milliseconds on the original clock that one millisecond of the new clock takes.
 */
export function createScaledClock(clock: Clock, scale: number): Clock {
    return {
        getWallMilliseconds: () => clock.getWallMilliseconds() / scale,
        getMonotonicMilliseconds: () => clock.getMonotonicMilliseconds() / scale,
        sleep: (milliseconds, signal) => clock.sleep(milliseconds * scale, signal),
    };
}
