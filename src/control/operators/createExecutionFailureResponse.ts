/*
 * The response to a command that was not committed, or whose outcome is unknown.
 */
import { ExecuteResult } from "../ExecuteResult";
import { createErrorResponse } from "./createErrorResponse";
import { OperatorResponse } from "./OperatorResponse";

const retryAfterMilliseconds = 1_000;

/**
 * Creates the response to a command without a result.
 * @param result - The outcome of the command.
 * @param signal - The signal passed to the command. If it is aborted, the outcome is reported as unknown, since the
 * command may have been sent again.
 */
export function createExecutionFailureResponse(
    result: Exclude<ExecuteResult, { kind: "committed"; }>,
    signal: AbortSignal,
): OperatorResponse {
    switch (result.kind) {
        case "notCommitted":
            return signal.aborted ? createUnknownOutcomeResponse(result.reason) : {
                ...createErrorResponse(503, "no_leader", `Nothing was changed: ${result.reason}`),
                retryAfterMilliseconds,
            };
        case "unknown":
            return createUnknownOutcomeResponse(result.reason);
    }
}

function createUnknownOutcomeResponse(reason: string): OperatorResponse {
    return {
        ...createErrorResponse(504, "unknown", `The change may be made or not: ${reason}`),
        retryAfterMilliseconds,
    };
}
