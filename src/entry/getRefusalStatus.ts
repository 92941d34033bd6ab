/*
 * Maps refusals to HTTP status codes.
 */
import { assertNever } from "../errors";
import { RefusalReason } from "../protocol";

/** Gets the HTTP status code for the reason of a refusal. */
export function getRefusalStatus(reason: RefusalReason): number {
    switch (reason) {
        case RefusalReason.INVALID_REQUEST:
        case RefusalReason.MALFORMED_HTTP:
        case RefusalReason.LENGTH_MISMATCH:
        case RefusalReason.INVALID_UTF8:
        case RefusalReason.INVALID_JSON:
        case RefusalReason.NESTED_TOO_DEEPLY:
            return 400;
        case RefusalReason.INVALID_KEY:
            return 401;
        case RefusalReason.NOT_ALLOWED:
        case RefusalReason.UNAUTHORIZED_PEER:
            return 403;
        case RefusalReason.NOT_FOUND:
            return 404;
        case RefusalReason.REQUEST_TIMEOUT:
            return 408;
        case RefusalReason.KEY_IN_PROGRESS:
        case RefusalReason.ANSWER_NOT_KEPT:
        case RefusalReason.ATTEMPT_FORBIDDEN:
            return 409;
        case RefusalReason.BODY_TOO_LARGE:
            return 413;
        case RefusalReason.KEY_REUSED:
        case RefusalReason.QUARANTINED:
            return 422;
        case RefusalReason.HEADERS_TOO_LARGE:
            return 431;
        case RefusalReason.TOO_MANY_INVALID:
        case RefusalReason.RATE_LIMITED:
        case RefusalReason.FAIR_SHARE:
        case RefusalReason.QUOTA_EXCEEDED:
            return 429;
        case RefusalReason.CANCELLED:
            return 499;
        case RefusalReason.OUTCOME_UNKNOWN:
        case RefusalReason.BACKEND_CRASHED:
        case RefusalReason.BACKEND_UNREACHABLE:
        case RefusalReason.BACKEND_REFUSED:
        case RefusalReason.LINK_LOST:
            return 502;
        case RefusalReason.UNSPECIFIED:
        case RefusalReason.DRAINING:
        case RefusalReason.NO_REPLICA:
        case RefusalReason.STALE_SETTINGS:
        case RefusalReason.STREAM_ORIGIN_UNKNOWN:
        case RefusalReason.OVERLOADED:
        case RefusalReason.BETTER_SIBLING:
        case RefusalReason.WRONG_INCARNATION:
        case RefusalReason.WRONG_VERSION:
        case RefusalReason.NO_QUORUM:
        case RefusalReason.SUSPECTED:
        case RefusalReason.UNKNOWN_ATTEMPT:
            return 503;
        case RefusalReason.DEADLINE:
            return 504;
        default:
            return assertNever(reason);
    }
}
