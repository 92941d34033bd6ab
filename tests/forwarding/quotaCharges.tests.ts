import { expect } from "chai";
import { AttemptResult } from "../../src/forwarding";
import { createLogger } from "../../src/logging";
import { RefusalReason } from "../../src/protocol";
import { QuotaDecision, QuotaRefusal, QuotaRequest } from "../../src/workspaceQuotas";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse, lostResult, overloadedResult } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("the quota charge of a request", () => {
    interface TrialOptions {
        decision?: QuotaDecision;
        preparation?: QuotaRefusal;
        respond?: (number: number) => AttemptResult;
        isPublic?: boolean;
    }

    /** Forwards a request that states 1,400 tokens; returns the calls to the quota, the refusal and the number of attempts. */
    async function getResult({ decision, preparation, respond, isPublic = false }: TrialOptions) {
        const clock = createManualClock();
        const calls: string[] = [];
        const routes = createTestDocument().routes.map(route => ({ ...route, isPublic }));
        const instances = ["1", "2"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        );
        const link = createTestLink((...[, number]) => (respond ?? (() => createTestResponse(["whole"])))(number));
        const charge = {
            prepareSending: (hasRun: boolean) => {
                calls.push(`prepare ${hasRun}`);
                return preparation;
            },
            recordSent: () => void calls.push("sent"),
            end: (hasRun: boolean) => void calls.push(`end ${hasRun}`),
        };
        const logLines: { msg: string; quota?: object; }[] = [];
        const logger = createLogger("test", { level: "info" }, {
            write: line => {
                logLines.push(JSON.parse(String(line)) as typeof logLines[number]);
                return true;
            },
        });
        const forwarder = createTestForwarder(createTestFeedState(clock, instances, { routes }), link, clock, {
            logger,
            workspaceQuotas: {
                admit: ({ workspace, tokens }: QuotaRequest) => {
                    calls.push(`admit ${workspace} ${tokens}`);
                    return decision ?? { kind: "admitted", charge };
                },
            },
        });
        const reply = createTestReply();
        const ended = forwarder.forward(createTestRequest({ quotaTokens: 1_400 }), reply);
        await clock.advance(3_000);
        await ended;
        return { calls, refusal: reply.getRefusal(), sent: link.attempts.length, logLines };
    }

    it("is kept where it ran", async () =>
        expect((await getResult({})).calls)
            .to.deep.equal(["admit alpha 1400", "prepare false", "sent", "end true"]));

    it("is kept where it may have run", async () =>
        expect((await getResult({ respond: () => lostResult })).calls.at(-1)).to.equal("end true"));

    it("is one for all attempts", async () =>
        expect(
            (await getResult({
                respond: number => number === 0 ? overloadedResult : createTestResponse(["whole"]),
            })).calls,
        ).to.deep.equal(["admit alpha 1400", "prepare false", "sent", "prepare false", "sent", "end true"]));

    it("is refunded where no attempt ran", async () =>
        expect((await getResult({ respond: () => overloadedResult })).calls.at(-1)).to.equal("end false"));

    it("is none on a public route", async () => expect((await getResult({ isPublic: true })).calls).to.deep.equal([]));

    it("prevents attempts where it no longer holds, and the request is refused as not run", async () => {
        const preparation = { reason: RefusalReason.QUOTA_EXCEEDED, retryAfterMilliseconds: 70_000 };
        const { sent, refusal } = await getResult({ preparation });
        expect([sent, refusal]).to.deep.equal([0, { ...preparation, kind: "notRun" }]);
    });

    it("is none for a request beyond the quota, which gets the time of the refill and no attempt", async () => {
        const decision = {
            kind: "refused",
            reason: RefusalReason.QUOTA_EXCEEDED,
            retryAfterMilliseconds: 420,
            logFields: { amount: 1_400, debt: 300 },
        } as const;
        const { sent, refusal, logLines } = await getResult({ decision });
        const { logFields, ...refused } = decision;
        expect([sent, refusal]).to.deep.equal([0, { ...refused, kind: "notRun" }]);
        expect(logLines.map(({ msg, quota }) => [msg, quota])).to.deep.equal([["request refused", logFields]]);
    });
});
