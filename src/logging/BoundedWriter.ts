/*
 * Where log lines go that must not hold the process up.
 */

/** Takes lines without blocking. */
export interface BoundedWriter {
    /** Takes one line with its line end; it may be dropped. */
    write(line: string): void;
}
