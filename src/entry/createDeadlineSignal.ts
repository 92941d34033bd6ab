/*
 * Creates abort signals for deadlines.
 */
import { Clock } from "../runtime";

/** A signal that is aborted at a deadline, unless it is released before. */
interface DeadlineSignal {
    /** Aborted at the deadline. */
    signal: AbortSignal;
    /** Cancels the timer; the signal is not aborted afterwards. */
    release(): void;
}

/**
 * Creates a signal that is aborted at a deadline.
 * @param clock - The clock that the deadline is measured by.
 * @param deadlineMilliseconds - The deadline on the monotonic clock, in milliseconds.
 */
export function createDeadlineSignal(clock: Clock, deadlineMilliseconds: number): DeadlineSignal {
    const deadline = new AbortController();
    const cancelled = new AbortController();
    const remainingMilliseconds = Math.max(0, deadlineMilliseconds - clock.getMonotonicMilliseconds());
    void clock.sleep(remainingMilliseconds, cancelled.signal).then(() => {
        if (!cancelled.signal.aborted) {
            deadline.abort();
        }
    });
    return { signal: deadline.signal, release: () => cancelled.abort() };
}
