/*
 * The result of forwarding a request.
 */
import { ForwardingTask } from "./ForwardingTask";
import { ForwardOutcome } from "./ForwardOutcome";

/** What the caller got, and the run that it came from. */
export interface ForwardResult {
    /** The run that delivered last, as a task of its own. */
    task: ForwardingTask;
    /** What the caller got. */
    outcome: ForwardOutcome;
}
