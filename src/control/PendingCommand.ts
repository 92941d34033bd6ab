/*
 * A command on its way to the control members.
 */
import { Command } from "../protocol";
import { ExecuteResult } from "./ExecuteResult";

/** A command whose outcome is waited for. */
export interface PendingCommand {
    /** The command. */
    command: Command;
    /** When the command is given up, on the monotonic clock. */
    deadlineMilliseconds: number;
    /** Whether an earlier sending of the command may have been committed. */
    mayBeCommitted: boolean;
    /** Whether the command is on its way now. */
    isInFlight: boolean;
    /** Whether the one who waits has been answered, after which the command is not sent any more. */
    isAbandoned: boolean;
    /** Answers the one who waits; only the first answer counts. */
    resolve: (result: ExecuteResult) => void;
}
