/*
 * Whether a request keeps within its limits.
 */
import { QuotaKind } from "./QuotaKind";

/** The decision on a request. */
export type LimitDecision =
    /** The request may run; `finish` frees its place and corrects its tokens, exactly once. */
    | { kind: "admitted"; finish: (usedTokens: number | undefined) => void; }
    /** A limit is reached; it is worth trying again after a time. */
    | { kind: "refused"; level: string; quotaKind: QuotaKind; retryAfterMilliseconds: number; };
