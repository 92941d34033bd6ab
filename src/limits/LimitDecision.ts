/*
 * The result of applying limits to a request.
 */
import { QuotaKind } from "./QuotaKind";

/** Whether a request is within its limits. */
export type LimitDecision =
    /**
     * The request may run. `finish` must be called when it ends: it releases the request's slot and corrects the
     * estimated tokens by those used, which are undefined where they aren't known. Further calls have no effect.
     */
    | { kind: "admitted"; finish: (usedTokens: number | undefined) => void; }
    /** A limit of the level with this path is reached; a retry may succeed after the given time. */
    | { kind: "refused"; level: string; quotaKind: QuotaKind; retryAfterMilliseconds: number; };
