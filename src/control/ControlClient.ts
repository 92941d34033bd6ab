/*
 * How entries, sidecars and operators reach the replicated state of the control members, wherever its leader is.
 */
import { Command, QueryKind } from "../protocol";
import { ExecuteResult } from "./ExecuteResult";
import { QueryResult } from "./QueryResult";

/** A client of the control members. */
export interface ControlClient {
    /**
     * Commits a command. Commands executed close together travel in one message.
     * @param command - The command.
     * @param signal - Gives up waiting; the outcome is then unknown.
     */
    execute(command: Command, signal?: AbortSignal): Promise<ExecuteResult>;
    /**
     * Asks a query.
     * @param kind - What is asked for.
     * @param argument - The query's argument, by kind.
     * @param isLinearizable - Whether the answer must hold all that was committed when the query was asked.
     */
    query(kind: QueryKind, argument: string, isLinearizable: boolean): Promise<QueryResult>;
}
