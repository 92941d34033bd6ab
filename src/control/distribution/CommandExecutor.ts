/*
 * Commits commands in the replicated log, at this member or through the leader.
 */
import { ExecuteRequest, ExecuteResponse } from "../../protocol";

/** Commits commands in the replicated log. */
export interface CommandExecutor {
    /**
     * Commits commands, at this member if it leads and otherwise through the leader.
     * @param request - The commands.
     * @returns The outcome of each command; "no leader" only if the command was certainly not committed.
     */
    execute(request: ExecuteRequest): Promise<ExecuteResponse>;
    /** Refuses further commands, and waits until those accepted before have an outcome. */
    drain(): Promise<void>;
}
