/*
 * The position of a command in the replicated log.
 */

/** The position and the time of a committed command. */
export interface ApplyContext {
    /** The term in which the command was appended. */
    term: bigint;
    /** The command's index in the log. */
    index: bigint;
    /** The leader's wall clock when it appended the command, in milliseconds since the epoch. */
    timeMilliseconds: number;
}
