/*
 * Turns a deadline into a signal.
 */
import { Clock } from "../runtime";

/** A signal that is aborted at a deadline, until it is let go. */
interface DeadlineSignal {
    /** Aborted at the deadline. */
    signal: AbortSignal;
    /** Lets the deadline go. */
    release(): void;
}

/**
 * Creates a signal that is aborted at a deadline.
 * @param deadlineMilliseconds - The deadline, on the monotonic clock.
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
