/*
 * Creates the responses of endpoints that return the result of a query.
 */
import { QueryKind } from "../../protocol";
import { ControlClient } from "../ControlClient";
import { QueryResult } from "../QueryResult";
import { createErrorResponse } from "./createErrorResponse";
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { waitForAbort } from "./waitForAbort";

const retryAfterMilliseconds = 1_000;

/**
 * Runs a query and creates the response from its result. With the parameter `stale=true`, the control member reads its
 * own state without contacting the leader, and the result may be outdated.
 * @param client - Runs the query.
 * @param request - The operator's request, whose signal ends the wait.
 * @param kind - The kind of the query.
 * @param argument - The query's argument, whose format depends on the kind.
 */
export async function createQueryResponse(
    client: ControlClient,
    request: OperatorRequest,
    kind: QueryKind,
    argument: string,
): Promise<OperatorResponse> {
    const isStaleAllowed = request.parameters.get("stale") === "true";
    const result = await Promise.race([
        client.query(kind, argument, !isStaleAllowed),
        waitForAbort(request.signal).then((): QueryResult => ({ kind: "unreachable", reason: "no answer in time" })),
    ]);
    if (result.kind === "unreachable") {
        const message = `No leader could be asked: ${result.reason}; stale=true asks this member alone`;
        return { ...createErrorResponse(503, "no_leader", message), retryAfterMilliseconds };
    }
    if (result.value === undefined) {
        return createErrorResponse(404, "not_found", "This control member does not answer such a query");
    }
    return { status: 200, body: result.value };
}
