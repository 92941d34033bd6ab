import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createRouteTable, QuotaUnit, WorkspaceQuota } from "../../src/documents";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { PollRequestSchema, PollResponseSchema, RefusalReason } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createQuotaLedger, createQuotaView, createWorkspaceQuotas, QuotaCharge } from "../../src/workspaceQuotas";
import { createTestDocument } from "../documents/createTestDocument";
import { createManualClock } from "../support/createManualClock";

describe("createWorkspaceQuotas", () => {
    const tokenQuota: WorkspaceQuota = {
        unit: QuotaUnit.Tokens,
        amountPerSecond: 1_000,
        burst: 2_000,
        defaultRequestTokens: 200,
    };

    /** Creates an entry process, which has a debt limit of 500 after 20 s, and a leader that it polls. */
    async function createTrial(quota: WorkspaceQuota | undefined, slack = 10_000) {
        const clock = createManualClock();
        let [entryCount, ageMilliseconds, urgentCount] = [10, 0, 0];
        let document = createDocument(quota);
        const bounds = { windowMilliseconds: 8_000, overshoot: 0, slack };
        const metrics = createMetrics();
        const ledger = createQuotaLedger({ getQuotas: createQuotaView(() => document), bounds, clock, metrics });
        const quotas = createWorkspaceQuotas({
            reporter: "entry 1",
            state: {
                getRouteTable: () => createRouteTable(document),
                getEntryCount: () => entryCount,
                getDocumentAgeMilliseconds: () => ageMilliseconds,
                getContactStartMilliseconds: () => 0,
            },
            bounds,
            clock,
            random: createRandomSource(1),
            metrics,
        });
        quotas.addUrgentListener(() => urgentCount += 1);
        await clock.advance(20_000);
        return {
            clock,
            metrics,
            createPollFields: quotas.createPollFields,
            getUrgentCount: () => urgentCount,
            setEntryCount: (count: number) => entryCount = count,
            setQuota: (changed: WorkspaceQuota) => document = createDocument(changed),
            setAge: (milliseconds: number) => ageMilliseconds = milliseconds,
            admit: (tokens?: number) =>
                quotas.admit({
                    workspace: "alpha",
                    tokens,
                    remainingMilliseconds: 5_000,
                    signal: new AbortController().signal,
                    logger: createSilentLogger(),
                }),
            poll,
        };

        async function poll(losesResponse = false): Promise<number | undefined> {
            const request = create(PollRequestSchema, quotas.createPollFields());
            ledger.readPoll(request);
            await clock.advance(1);
            const response = create(PollResponseSchema, ledger.createResponseFields(request));
            if (!losesResponse) {
                quotas.readResponse(response);
            }
            return response.workspaceGrants[0]?.granted;
        }
    }

    function createDocument(quota: WorkspaceQuota | undefined) {
        return createTestDocument({
            workspaces: [{ name: "alpha", apiKeys: [], priority: 1, isIsolated: false, quota }],
        });
    }

    type Trial = Awaited<ReturnType<typeof createTrial>>;

    function getCharge(decision: Awaited<ReturnType<Trial["admit"]>>): QuotaCharge {
        expect(decision.kind).to.equal("admitted");
        return (decision as { charge: QuotaCharge; }).charge;
    }

    async function expectRefusal(
        decision: ReturnType<Trial["admit"]>,
        reason: RefusalReason,
        minimum: number,
        maximum = minimum,
    ) {
        const refusal = await decision as { reason: RefusalReason; retryAfterMilliseconds: number; };
        expect(refusal.reason).to.equal(reason);
        expect(refusal.retryAfterMilliseconds).to.be.within(minimum, 1.31 * maximum);
    }

    it("sends nothing and keeps nothing where no workspace has a quota", async () => {
        const trial = await createTrial(undefined);
        expect(trial.admit(1e9)).to.deep.equal({ kind: "admitted", charge: undefined });
        expect([trial.createPollFields(), trial.getUrgentCount(), await trial.poll()]).to.deep.equal([
            {},
            0,
            undefined,
        ]);
    });

    it("admits within the debt limit without asking, and reports the debt until it is granted", async () => {
        const trial = await createTrial(tokenQuota);
        await trial.admit(400);
        await trial.poll();
        expect(trial.getUrgentCount()).to.equal(0);
        await trial.clock.advance(1_000);
        expect([await trial.poll(true), await trial.poll()]).to.deep.equal([400, 400]);
    });

    it("counts a request that states no tokens as the quota says", async () => {
        const trial = await createTrial(tokenQuota);
        expect([trial.admit(), trial.admit(), trial.admit()].map(decision => decision instanceof Promise))
            .to.deep.equal([false, false, true]);
    });

    it("asks for what exceeds the debt limit, and refuses it with the time of the refill where the bucket has too little", async () => {
        const trial = await createTrial(tokenQuota);
        await trial.admit(100);
        await trial.poll();
        await trial.clock.advance(998);
        const [granted, refused] = [trial.admit(700), trial.admit(1_900)];
        await trial.poll();
        getCharge(await granted);
        await expectRefusal(refused, RefusalReason.QUOTA_EXCEEDED, 700);
        const urgentCount = trial.getUrgentCount();
        await expectRefusal(trial.admit(1_900), RefusalReason.QUOTA_EXCEEDED, 700);
        expect(trial.getUrgentCount()).to.equal(urgentCount);
    });

    it("refuses as not run what exceeds the debt limit where the leader does not respond", async () => {
        const trial = await createTrial(tokenQuota);
        const decision = trial.admit(700);
        await trial.clock.advance(300);
        await expectRefusal(decision, RefusalReason.STALE_SETTINGS, 1_000);
        await expectRefusal(trial.admit(700), RefusalReason.STALE_SETTINGS, 1_000);
    });

    it("has no debt limit once the last contact is too old, and sends nothing that was charged before", async () => {
        const trial = await createTrial(tokenQuota);
        const charge = getCharge(await trial.admit(400));
        trial.setAge(3_100);
        expect(charge.prepareSending(false)?.reason).to.equal(RefusalReason.STALE_SETTINGS);
        const decision = trial.admit(10);
        await trial.clock.advance(300);
        await expectRefusal(decision, RefusalReason.STALE_SETTINGS, 1_000);
    });

    it("sends nothing that exceeds a debt limit which has become lower", async () => {
        const trial = await createTrial(tokenQuota);
        const charge = getCharge(await trial.admit(400));
        trial.setEntryCount(20);
        // The limit is 250 for each of 20 processes: 150 must be granted first, at 1,000 a second.
        expect(charge.prepareSending(false)?.reason).to.equal(RefusalReason.QUOTA_EXCEEDED);
        expect(charge.prepareSending(false)?.retryAfterMilliseconds).to.be.within(150, 195);
        expect(charge.prepareSending(true)).to.equal(undefined);
    });

    it("sends what was granted while later charges exceed a debt limit that has become lower", async () => {
        const trial = await createTrial(tokenQuota);
        const granted = getCharge(await trial.admit(400));
        await trial.poll();
        await trial.clock.advance(1_000);
        await trial.poll();
        const later = getCharge(await trial.admit(400));
        trial.setEntryCount(20);
        expect(granted.prepareSending(false)).to.equal(undefined);
        expect(later.prepareSending(false)?.reason).to.equal(RefusalReason.QUOTA_EXCEEDED);
    });

    it("sends nothing after the request has ended, and refunds it once", async () => {
        const trial = await createTrial(tokenQuota);
        const charge = getCharge(await trial.admit(400));
        charge.end(false);
        expect(charge.prepareSending(false)?.reason).to.equal(RefusalReason.QUOTA_EXCEEDED);
        charge.recordSent();
        charge.end(false);
        expect(await trial.metrics.getText()).to.contain("basilwing_quota_refunds_total 1");
        expect([trial.admit(400), trial.admit(200)].map(decision => decision instanceof Promise))
            .to.deep.equal([false, true]);
    });

    it("tells callers the time of the refill, also where it is longer than a window", async () => {
        const trial = await createTrial(
            { ...tokenQuota, unit: QuotaUnit.Requests, amountPerSecond: 0.01, burst: 10 },
            0,
        );
        const decision = trial.admit();
        await trial.poll();
        await expectRefusal(decision, RefusalReason.QUOTA_EXCEEDED, 99_990, 100_000);
    });

    it("asks again after a second at most, as the quota may have been raised", async () => {
        const quota = { ...tokenQuota, unit: QuotaUnit.Requests, amountPerSecond: 0.01, burst: 10 };
        const trial = await createTrial(quota, 0);
        const refused = trial.admit();
        await trial.poll();
        expect((await refused).kind).to.equal("refused");
        expect(trial.admit()).not.to.be.instanceOf(Promise);
        await trial.clock.advance(1_000);
        expect(trial.admit()).to.be.instanceOf(Promise);
    });

    it("asks again at once where the quota was raised", async () => {
        const quota = { ...tokenQuota, unit: QuotaUnit.Requests, amountPerSecond: 0.01, burst: 10 };
        const trial = await createTrial(quota, 0);
        const refused = trial.admit();
        await trial.poll();
        expect((await refused).kind).to.equal("refused");
        trial.setQuota({ ...quota, amountPerSecond: 1_000, burst: 1_000 });
        await trial.poll();
        await trial.clock.advance(100);
        const admitted = trial.admit();
        await trial.poll();
        getCharge(await admitted);
    });

    it("asks in the new unit for requests that wait while the unit changes, and reports no amounts of the former one", async () => {
        const trial = await createTrial(tokenQuota);
        await trial.admit(400);
        const waiting = trial.admit(12_000);
        trial.setQuota({ ...tokenQuota, unit: QuotaUnit.Requests, amountPerSecond: 20, burst: 20 });
        expect(trial.createPollFields()).to.deep.equal({});
        expect((await waiting).kind).to.equal("admitted");
        const [usage] = trial.createPollFields().workspaceUsages!;
        expect([usage?.countsTokens, usage?.charged]).to.deep.equal([false, 1]);
    });

    it("refunds a request that never ran, also after its amount was granted, and no other one", async () => {
        const trial = await createTrial(tokenQuota);
        const charge = getCharge(await trial.admit(400));
        await trial.poll();
        await trial.clock.advance(1_000);
        await trial.poll();
        charge.recordSent();
        charge.end(false);
        const other = getCharge(await trial.admit(900));
        other.end(true);
        expect(trial.admit(100)).to.be.instanceOf(Promise);
        expect(await trial.metrics.getText()).to.contain("basilwing_quota_refunds_total 1");
    });
});
