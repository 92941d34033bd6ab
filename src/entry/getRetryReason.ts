/*
 * Decides after which refusals a retry at another sidecar may succeed.
 */
import { RetryReason } from "../metrics";
import { RefusalReason } from "../protocol";

/** Gets the metrics reason of a retry after a refusal; undefined where a retry does not help. */
export function getRetryReason(reason: RefusalReason): RetryReason | undefined {
    switch (reason) {
        case RefusalReason.BETTER_SIBLING:
            return RetryReason.BetterSibling;
        case RefusalReason.OVERLOADED:
            return RetryReason.Overloaded;
        case RefusalReason.DRAINING:
            return RetryReason.Draining;
        case RefusalReason.WRONG_INCARNATION:
            return RetryReason.WrongIncarnation;
        case RefusalReason.WRONG_VERSION:
            return RetryReason.WrongVersion;
        case RefusalReason.STALE_SETTINGS:
            return RetryReason.StaleSettings;
        case RefusalReason.BACKEND_UNREACHABLE:
            return RetryReason.Unreachable;
        case RefusalReason.BACKEND_CRASHED:
            return RetryReason.BackendCrashed;
        case RefusalReason.BACKEND_REFUSED:
            return RetryReason.BackendRefused;
        case RefusalReason.LINK_LOST:
            return RetryReason.LinkLost;
        case RefusalReason.ATTEMPT_FORBIDDEN:
            return RetryReason.ForbiddenAttempt;
        default:
            return undefined;
    }
}
