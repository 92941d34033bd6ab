/*
 * A destination of log lines that never blocks the process.
 */

/** Writes lines without blocking. */
export interface BoundedWriter {
    /**
     * Writes a line, or drops it.
     * @param line - The line, with its line break.
     */
    write(line: string): void;
    /** Accepts a few more lines whatever was written before: the last ones of the process tell why it ends. */
    reserveLastLines(): void;
    /** Waits until all accepted lines have been written, or can't be written any more. */
    flush(): Promise<void>;
}
