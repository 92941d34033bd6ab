/*
 * The exit codes of the program.
 */

/** The exit codes of all commands. */
export enum ExitCode {
    /** The command succeeded. */
    Success = 0,
    /** The command ran and failed, or a check did not hold. */
    Failure = 1,
    /** The command line or a file was invalid. */
    Invalid = 2,
    /** Another change was made first, or the claim is in another state. */
    Conflict = 3,
    /** No control member could respond. */
    Unreachable = 4,
    /** The change is accepted, but not yet in force everywhere. */
    Pending = 5,
}
