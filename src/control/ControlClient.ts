/*
 * Declares the client through which entry processes, sidecars and operators change and read the replicated state,
 * whichever control member leads.
 */
import { Command, QueryKind } from "../protocol";
import { ExecuteResult } from "./ExecuteResult";
import { QueryResult } from "./QueryResult";

/** A client of the control members. */
export interface ControlClient {
    /**
     * Commits a command. Commands that are executed within a short time are sent in one message.
     * @param command - The command.
     * @param signal - Stops waiting. The outcome is then `unknown`, or `notCommitted` if the command was certainly not
     *     committed.
     * @returns The outcome; a failed call is reported in it and doesn't reject the promise.
     */
    execute(command: Command, signal?: AbortSignal): Promise<ExecuteResult>;
    /**
     * Queries the replicated state.
     * @param kind - The kind of query.
     * @param argument - The argument, whose meaning depends on the kind.
     * @param isLinearizable - Whether the response must reflect everything that was committed when the query started.
     * @returns The value, or `unreachable` if no member responded with one within the timeout.
     */
    query(kind: QueryKind, argument: string, isLinearizable: boolean): Promise<QueryResult>;
}
