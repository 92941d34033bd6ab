/*
 * The common format of error responses to operators.
 */
import { OperatorResponse } from "./OperatorResponse";

/**
 * Creates an error response.
 * @param status - The HTTP status.
 * @param code - The machine-readable error code.
 * @param message - The human-readable error message.
 * @param problems - The individual problems, such as invalid fields.
 */
export function createErrorResponse(
    status: number,
    code: string,
    message: string,
    problems: readonly string[] = [],
): OperatorResponse {
    return { status, body: { error: { type: "operator_error", code, message, problems } } };
}
