/*
 * Answers queries about the replicated state.
 */
import { QueryRequest, QueryResponse } from "../../protocol";

/** Answers queries. */
export interface QueryHandler {
    /** Answers a query, after a read barrier where it must be linearizable. */
    handle(request: QueryRequest): Promise<QueryResponse>;
}
