/*
 * The handling of queries about the replicated state.
 */
import { QueryRequest, QueryResponse } from "../../protocol";

/** Handles queries about the replicated state. */
export interface QueryHandler {
    /** Handles a query, after a read barrier if it must be linearizable. */
    handle(request: QueryRequest): Promise<QueryResponse>;
}
