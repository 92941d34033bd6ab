/*
 * What operators are told of a command that was not committed, as far as is known.
 */
import { ExecuteResult } from "../ExecuteResult";
import { createErrorResponse } from "./createErrorResponse";
import { OperatorResponse } from "./OperatorResponse";

const retryAfterMilliseconds = 1_000;

/**
 * Creates the answer to a command without a result.
 * @param result - What became of the command.
 * @param signal - The signal with which the command was given up, where it was: it may be on its way again then.
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
