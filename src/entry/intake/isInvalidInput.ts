/*
 * Decides which refusals count as invalid input.
 */
import { RefusalReason } from "../../protocol";

const invalidReasons: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.INVALID_REQUEST,
    RefusalReason.INVALID_KEY,
    RefusalReason.BODY_TOO_LARGE,
    RefusalReason.REQUEST_TIMEOUT,
    RefusalReason.HEADERS_TOO_LARGE,
    RefusalReason.MALFORMED_HTTP,
    RefusalReason.LENGTH_MISMATCH,
    RefusalReason.INVALID_UTF8,
    RefusalReason.INVALID_JSON,
    RefusalReason.NESTED_TOO_DEEPLY,
]);

/** Returns whether a refusal's reason is that the request itself is invalid. */
export function isInvalidInput(reason: RefusalReason): boolean {
    return invalidReasons.has(reason);
}
