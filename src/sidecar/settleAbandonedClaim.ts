/*
 * Settles a claim on behalf of an entry process that has disconnected, so that a resent request finds the outcome in the
 * replicated log even if this sidecar has terminated by then.
 */
import { create } from "@bufbuild/protobuf";
import { createResponseCollector } from "../outcome";
import { ClaimState, CommandSchema, DispatchRequest, RunState, StoredAnswer, StoredAnswerSchema } from "../protocol";
import { Attempt } from "./attempts";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Records the outcome of a claimed attempt that has ended.
 * @param options - The options of the sidecar.
 * @param attempt - The attempt.
 * @param request - The dispatched request, which names the claim.
 */
export async function settleAbandonedClaim(
    options: SidecarOptions,
    attempt: Attempt,
    request: DispatchRequest,
): Promise<void> {
    const { control, logger } = options;
    if (control === undefined || request.idempotencyKey === "") {
        return;
    }
    const response = await getStoredResponse(attempt);
    const command = create(CommandSchema, {
        command: {
            case: "settleClaim",
            value: {
                workspace: request.workspace,
                idempotencyKey: request.idempotencyKey,
                number: request.claim,
                state: getClaimState(attempt, response),
                answer: response,
            },
        },
    });
    const result = await control.execute(command);
    if (result.kind !== "committed") {
        logger.warn({ requestId: request.requestId, reason: result.reason }, "claim was not settled");
    }
}

/** Gets the claim state that follows from the attempt's outcome. */
function getClaimState(attempt: Attempt, response: StoredAnswer | undefined): ClaimState {
    if (response !== undefined) {
        return ClaimState.ANSWERED;
    }
    return attempt.getRunState() === RunState.NOT_RUN ? ClaimState.ABANDONED : ClaimState.UNKNOWN;
}

/** Gets the complete response of an attempt; undefined if it ended without one. */
async function getStoredResponse(attempt: Attempt): Promise<StoredAnswer | undefined> {
    if (!attempt.replayBuffer.isAvailable(1n)) {
        return attempt.getRunState() === RunState.RAN ? create(StoredAnswerSchema, { truncated: true }) : undefined;
    }
    const collector = createResponseCollector();
    for await (const { event } of attempt.replayBuffer.follow(1n, new AbortController().signal)) {
        collector.addEvent(event);
    }
    return collector.getResponse();
}
