/*
 * Bounds log lines by time. What was suppressed is counted and told by the next line for the same cause.
 */
import { Clock } from "../runtime";
import { LogLimiter } from "./LogLimiter";

/** The state of one cause. */
interface LimitedCause {
    /** When the last line was written, in monotonic milliseconds. */
    writtenMilliseconds: number;
    /** The number of lines suppressed since then. */
    suppressedCount: number;
}

const defaultIntervalMilliseconds = 1_000;

/**
 * Creates a limiter.
 * @param clock - The clock of the interval.
 * @param intervalMilliseconds - The minimum time between two lines for one cause, in milliseconds.
 */
export function createLogLimiter(
    clock: Pick<Clock, "getMonotonicMilliseconds">,
    intervalMilliseconds = defaultIntervalMilliseconds,
): LogLimiter {
    const causes = new Map<string, LimitedCause>();
    return { limit };

    function limit(cause: string, write: (suppressedCount: number) => void): void {
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        const limited = causes.get(cause);
        if (limited && nowMilliseconds - limited.writtenMilliseconds < intervalMilliseconds) {
            limited.suppressedCount += 1;
            return;
        }
        causes.set(cause, { writtenMilliseconds: nowMilliseconds, suppressedCount: 0 });
        write(limited?.suppressedCount ?? 0);
    }
}
