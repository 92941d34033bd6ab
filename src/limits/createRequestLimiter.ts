/*
 * Applies the limits of all levels to a request. Amounts are taken from all limits or from none; a refusal names the
 * limit with the longest retry delay.
 */
import { EffectiveSettings } from "../control/configuration";
import { LimitDecision } from "./LimitDecision";
import { QuotaKind } from "./QuotaKind";
import { QuotaLeaseClient } from "./QuotaLeaseClient";
import { QuotaName } from "./QuotaName";
import { RequestLimiter } from "./RequestLimiter";

interface AppliedLimit {
    name: QuotaName;
    /** The limit's value in the settings. */
    limit: number;
    /** The amount that the request takes. */
    amount: number;
}

/**
 * Creates the limiter of one process.
 * @param leases - The leases that the process holds.
 */
export function createRequestLimiter(leases: QuotaLeaseClient): RequestLimiter {
    return { admit };

    function admit(limitsByLevel: EffectiveSettings["limitsByLevel"], tokens: number): LimitDecision {
        const applied = getAppliedLimits(limitsByLevel, tokens);
        const refusal = getLongestRefusal(applied);
        if (refusal !== undefined) {
            return refusal;
        }
        applied.forEach(({ name, limit, amount }) => leases.take(name, limit, amount));
        let isFinished = false;
        return { kind: "admitted", finish };

        function finish(usedTokens: number | undefined): void {
            if (!isFinished) {
                isFinished = true;
                applied.forEach(({ name, amount }) => refundUnused(name, amount, usedTokens));
            }
        }
    }

    /** Gets the refusal with the longest retry delay; undefined where no limit refuses. */
    function getLongestRefusal(applied: readonly AppliedLimit[]): LimitDecision | undefined {
        let longest: Extract<LimitDecision, { kind: "refused"; }> | undefined;
        for (const { name, limit, amount } of applied) {
            const outcome = leases.check(name, limit, amount);
            if (outcome.kind === "refused" && outcome.retryAfterMilliseconds > (longest?.retryAfterMilliseconds ?? 0)) {
                const { retryAfterMilliseconds } = outcome;
                longest = { kind: "refused", level: name.level, quotaKind: name.kind, retryAfterMilliseconds };
            }
        }
        return longest;
    }

    /** Returns what a request that has ended did not use. */
    function refundUnused(name: QuotaName, amount: number, usedTokens: number | undefined): void {
        switch (name.kind) {
            case QuotaKind.ConcurrentRequests:
                leases.refund(name, amount);
                break;
            case QuotaKind.TokensPerMinute:
                leases.refund(name, amount - (usedTokens ?? amount));
                break;
            case QuotaKind.RequestsPerSecond:
                break;
        }
    }
}

/** Gets the limits that are set, with the amount that a request takes of each. */
function getAppliedLimits(limitsByLevel: EffectiveSettings["limitsByLevel"], tokens: number): AppliedLimit[] {
    return limitsByLevel.flatMap(({ level, limits }) =>
        Object.values(QuotaKind).flatMap(kind => {
            const limit = limits[kind];
            const amount = kind === QuotaKind.TokensPerMinute ? tokens : 1;
            return limit === undefined ? [] : [{ name: { level, kind }, limit, amount }];
        })
    );
}
