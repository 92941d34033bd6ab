/*
 * The outcome of a command that was sent to the control members.
 */
import { CommandResult } from "../protocol";

/** The outcome of a command. */
export type ExecuteResult =
    | { kind: "committed"; result: CommandResult; }
    /** Certainly not committed, because no leader could be reached or the caller stopped waiting before it was sent. */
    | { kind: "notCommitted"; reason: string; }
    /** The command may have been committed. */
    | { kind: "unknown"; reason: string; };
