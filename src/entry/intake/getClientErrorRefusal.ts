/*
 * Maps errors of the HTTP parser to refusals.
 */
import { hasErrorCode } from "../../errors";
import { RefusalReason } from "../../protocol";
import { RefusalDetails } from "../RefusalDetails";

/**
 * Gets the refusal for an error of the HTTP parser.
 * @param error - The error that the HTTP server reported.
 * @returns The refusal; undefined where the caller closed the connection.
 */
export function getClientErrorRefusal(error: Error): RefusalDetails | undefined {
    if (hasErrorCode(error, "ECONNRESET", "EPIPE")) {
        return undefined;
    }
    if (hasErrorCode(error, "HPE_HEADER_OVERFLOW")) {
        return create(RefusalReason.HEADERS_TOO_LARGE, "The headers are too large.");
    }
    if (hasErrorCode(error, "ERR_HTTP_REQUEST_TIMEOUT")) {
        return create(RefusalReason.REQUEST_TIMEOUT, "The request did not come in time.");
    }
    if (hasErrorCode(error, "HPE_INVALID_EOF_STATE")) {
        return create(RefusalReason.LENGTH_MISMATCH, "The body ended before its announced length.");
    }
    return create(RefusalReason.MALFORMED_HTTP, "The request is no valid HTTP.");
}

function create(reason: RefusalReason, message: string): RefusalDetails {
    return { reason, message, retryAfterMilliseconds: 0 };
}
