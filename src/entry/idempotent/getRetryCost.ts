/*
 * Decides whether a retry counts against the retry budget.
 */
import { RefusalReason } from "../../protocol";

/**
 * Returns whether a retry after a refusal counts against the retry budget. A redirected request doesn't, since the
 * sidecar that refused it has done no work for it, so none is done twice.
 * @param reason - Why the last attempt was refused.
 */
export function getRetryCost(reason: RefusalReason): "free" | "budgeted" {
    switch (reason) {
        case RefusalReason.BETTER_SIBLING:
        case RefusalReason.DRAINING:
        case RefusalReason.WRONG_INCARNATION:
        case RefusalReason.WRONG_VERSION:
        case RefusalReason.STALE_SETTINGS:
            return "free";
        default:
            return "budgeted";
    }
}
