import { expect } from "chai";
import { createRequestLimiter, QuotaKind, QuotaLeaseClient } from "../../src/limits";

describe("createRequestLimiter", () => {
    const limitsByLevel = [
        { level: "/corrib", limits: { tokensPerMinute: 1_000, concurrentRequests: 4 } },
        { level: "/corrib/team", limits: { requestsPerSecond: 2 } },
    ];

    function createFixture(refusals: Partial<Record<QuotaKind, number>> = {}) {
        const calls: string[] = [];
        const leases: QuotaLeaseClient = {
            check: ({ kind }) => {
                const retryAfterMilliseconds = refusals[kind];
                return retryAfterMilliseconds === undefined
                    ? { kind: "available" }
                    : { kind: "refused", retryAfterMilliseconds };
            },
            take: ({ level, kind }, ...[, amount]) => calls.push(`take ${kind} ${level} ${amount}`),
            refund: ({ level, kind }, amount) => calls.push(`refund ${kind} ${level} ${amount}`),
            addGrant: () => {},
            stop: () => Promise.resolve(),
        };
        return { calls, limiter: createRequestLimiter(leases) };
    }

    it("takes from every limit that is set", () => {
        const { calls, limiter } = createFixture();
        expect(limiter.admit(limitsByLevel, 300).kind).to.equal("admitted");
        expect(calls).to.deep.equal([
            "take tokensPerMinute /corrib 300",
            "take concurrentRequests /corrib 1",
            "take requestsPerSecond /corrib/team 1",
        ]);
    });

    it("takes nothing where a limit refuses, and names the limit with the longest retry delay", () => {
        const { calls, limiter } = createFixture({ requestsPerSecond: 500, tokensPerMinute: 9_000 });
        expect(limiter.admit(limitsByLevel, 300)).to.deep.equal({
            kind: "refused",
            level: "/corrib",
            quotaKind: QuotaKind.TokensPerMinute,
            retryAfterMilliseconds: 9_000,
        });
        expect(calls).to.deep.equal([]);
    });

    it("releases the slot and corrects the tokens once when a request ends", () => {
        const { calls, limiter } = createFixture();
        const decision = limiter.admit(limitsByLevel, 300);
        calls.length = 0;
        if (decision.kind === "admitted") {
            decision.finish(120);
            decision.finish(120);
        }
        expect(calls).to.deep.equal(["refund tokensPerMinute /corrib 180", "refund concurrentRequests /corrib 1"]);
    });
});
