/*
 * Bounds log lines that a cause may repeat at any rate.
 */

/** Lets at most one line pass for each cause and interval. */
export interface LogLimiter {
    /**
     * Writes a line, unless one for the same cause was written within the interval.
     * @param cause - The cause; callers have a small, fixed set of them.
     * @param write - Writes the line; receives the number of lines for this cause that were suppressed before it.
     */
    limit(cause: string, write: (suppressedCount: number) => void): void;
}
