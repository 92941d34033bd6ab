/*
 * One line of a process's log.
 */

/** A line as it was written, with the fields that every line has. */
export interface LogLine {
    /** The process. */
    instance: string;
    /** When it was written, by that process's time of day, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** What happened. */
    message: string;
    /** All other fields. */
    fields: Readonly<Record<string, unknown>>;
}
