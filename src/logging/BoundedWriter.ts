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
}
