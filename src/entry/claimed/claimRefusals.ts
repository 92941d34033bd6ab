/*
 * The refusals that callers get for requests that may not be repeated.
 */
import { RefusalReason } from "../../protocol";
import { RefusalDetails } from "../RefusalDetails";

const retryAfterMilliseconds = 1_000;

/** The refusals of claimed requests, without the run state, which depends on the request's progress. */
export const claimRefusals = {
    noReplica: createRefusalText(
        RefusalReason.NO_REPLICA,
        "No backend server can take this request now.",
        retryAfterMilliseconds,
    ),
    noQuorum: createRefusalText(
        RefusalReason.NO_QUORUM,
        "The claim for this request could not be opened, as the control members do not answer.",
        retryAfterMilliseconds,
    ),
    keyReused: createRefusalText(RefusalReason.KEY_REUSED, "Another body was sent under this idempotency key."),
    idempotencyKeysFull: createRefusalText(
        RefusalReason.OVERLOADED,
        "No more idempotency keys can be taken now.",
        retryAfterMilliseconds,
    ),
    deadlinePassed: createRefusalText(RefusalReason.DEADLINE, "The deadline passed."),
    keyInProgress: createRefusalText(
        RefusalReason.KEY_IN_PROGRESS,
        "Another delivery under this idempotency key is in progress.",
        retryAfterMilliseconds,
    ),
    responseNotStored: createRefusalText(
        RefusalReason.ANSWER_NOT_KEPT,
        "The request has run, and its answer is no longer kept.",
    ),
    outcomeUnknown: createRefusalText(
        RefusalReason.OUTCOME_UNKNOWN,
        "It can't be known whether the request has run. It will not run again.",
    ),
    sidecarUnreachable: createRefusalText(
        RefusalReason.OUTCOME_UNKNOWN,
        "The companion that holds the request can't be reached now. Send it again under the same key.",
        retryAfterMilliseconds,
    ),
};

function createRefusalText(reason: RefusalReason, message: string, retryAfter = 0): RefusalDetails {
    return { reason, message, retryAfterMilliseconds: retryAfter };
}
