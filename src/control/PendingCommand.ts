/*
 * A command that a control client has not finished.
 */
import { Command } from "../protocol";
import { ExecuteResult } from "./ExecuteResult";

/** A command whose caller waits for the outcome. */
export interface PendingCommand {
    /** The command. */
    command: Command;
    /** The time on the monotonic clock after which the command is not sent again. */
    deadlineMilliseconds: number;
    /** Whether an earlier attempt may have committed the command. */
    mayBeCommitted: boolean;
    /** Whether a message with the command awaits its response. */
    isInFlight: boolean;
    /** Whether the caller has been notified of a failure or has stopped waiting; the command is then not sent again. */
    isAbandoned: boolean;
    /** Reports the outcome to the caller; only the first call has an effect. */
    resolve: (result: ExecuteResult) => void;
}
