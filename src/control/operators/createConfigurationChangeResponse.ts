/*
 * Creates the response to a change of the configuration that has been committed.
 */
import { ConfigurationChangeResult, ConfigurationOutcome } from "../../protocol";
import { ConfigurationChangeResponse } from "./ConfigurationChangeResponse";
import { createErrorResponse } from "./createErrorResponse";
import { OperatorResponse } from "./OperatorResponse";

/**
 * Creates the response to a committed change, with a status for each outcome.
 * @param result - The result of the change.
 */
export function createConfigurationChangeResponse(result: ConfigurationChangeResult): OperatorResponse {
    switch (result.outcome) {
        case ConfigurationOutcome.ACCEPTED:
            return createResponse(200, "accepted", result);
        case ConfigurationOutcome.PENDING:
            return createResponse(202, "pending", result);
        case ConfigurationOutcome.CONFLICT:
            return createResponse(409, "conflict", result);
        case ConfigurationOutcome.INVALID:
            return createResponse(422, "invalid", result);
        case ConfigurationOutcome.UNSPECIFIED:
            return createErrorResponse(500, "unknown_outcome", "The control members gave an outcome not known here");
    }
}

function createResponse(
    status: number,
    outcome: ConfigurationChangeResponse["outcome"],
    { revision, problems }: ConfigurationChangeResult,
): OperatorResponse {
    const body: ConfigurationChangeResponse = { outcome, revision: Number(revision), problems };
    return { status, body };
}
