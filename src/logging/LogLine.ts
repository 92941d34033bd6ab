/*
 * One line of a process's log.
 */

/** A parsed line, with the fields that every line has. */
export interface LogLine {
    /** The id of the instance that wrote the line. */
    instance: string;
    /** The time of writing by that process's wall clock, in milliseconds since the Unix epoch. */
    timeMilliseconds: number;
    /** The message. */
    message: string;
    /** All other fields. */
    fields: Readonly<Record<string, unknown>>;
}
