/*
 * Settles a claim in place of an entry that is gone, so that a resend finds the outcome in the log even when this
 * sidecar is gone too by then.
 */
import { create } from "@bufbuild/protobuf";
import { createResponseCollector } from "../outcome";
import { ClaimState, CommandSchema, DispatchRequest, RunState, StoredAnswer, StoredAnswerSchema } from "../protocol";
import { Attempt } from "./attempts";
import { SidecarOptions } from "./SidecarOptions";

/** Records what became of a claimed attempt that has ended. */
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
        logger.warn({ requestId: request.requestId, reason: result.reason }, "A claim was not settled.");
    }
}

/** Gets the state that the attempt's end proves. */
function getClaimState(attempt: Attempt, response: StoredAnswer | undefined): ClaimState {
    if (response !== undefined) {
        return ClaimState.ANSWERED;
    }
    return attempt.getRunState() === RunState.NOT_RUN ? ClaimState.ABANDONED : ClaimState.UNKNOWN;
}

/** Gets the whole answer of an attempt; undefined where it ended without one. */
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
