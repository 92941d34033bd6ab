import { expect } from "chai";
import { QuotaUnit, WorkspaceQuota } from "../../src/documents";
import { QuotaBounds, QuotaCharge } from "../../src/workspaceQuotas";
import { createQuotaFleet } from "./createQuotaFleet";

/** Cases in which the bound was exceeded, or requests within the quota were refused. */
describe("the quota of a workspace", function() {
    this.timeout(0);
    const bounds: QuotaBounds = { windowMilliseconds: 8_000, overshoot: 0.1, slack: 140_000 };
    const tokenQuota: WorkspaceQuota = {
        unit: QuotaUnit.Tokens,
        amountPerSecond: 355_710,
        burst: 355_710,
        defaultRequestTokens: 0,
    };
    const requestQuota: WorkspaceQuota = {
        unit: QuotaUnit.Requests,
        amountPerSecond: 10,
        burst: 10,
        defaultRequestTokens: 0,
    };

    function getAllowed(
        { amountPerSecond, burst }: WorkspaceQuota,
        { windowMilliseconds, overshoot, slack }: QuotaBounds,
    ) {
        return (amountPerSecond * windowMilliseconds / 1_000 + burst) * (1 + overshoot) + slack;
    }

    type Fleet = ReturnType<typeof createQuotaFleet>;

    /** Charges many requests that are not sent yet. */
    async function chargeMany(fleet: Fleet, tokens: number): Promise<QuotaCharge[]> {
        const charges: QuotaCharge[] = [];
        for (let round = 0; round < 30; round++) {
            const decisions = Array.from({ length: 10 }, () => fleet.admit(0, tokens));
            fleet.poll(0);
            for (const decision of await Promise.all(decisions)) {
                if (decision.kind === "admitted") {
                    charges.push(decision.charge!);
                }
            }
            await fleet.clock.advance(20);
        }
        return charges;
    }

    [0.05, 0.1, 0.5].forEach(factor =>
        it(`is not exceeded by requests that are sent 9 s after it was multiplied by ${factor}`, async () => {
            const fleet = createQuotaFleet(tokenQuota, bounds);
            fleet.start(0);
            fleet.poll(0);
            await fleet.tick(30_000);
            const charges = await chargeMany(fleet, 12_000);
            expect(charges.length).to.be.at.least(20);
            const { amountPerSecond, burst } = tokenQuota;
            const lowered = { ...tokenQuota, amountPerSecond: factor * amountPerSecond, burst: factor * burst };
            fleet.setQuota(lowered);
            await fleet.tick(9_000);
            charges.forEach(charge => fleet.sendIfAllowed(charge, 12_000));
            await fleet.tick(7_600, () => {
                fleet.use(0, 50, 12_000);
                fleet.poll(0);
            });
            expect(fleet.getSentAmount()).to.be.within(1, getAllowed(lowered, bounds));
        })
    );

    [8_000, 30_000, 120_000].forEach(windowMilliseconds =>
        it(`is not exceeded by debts of processes that stop one after another in a window of ${windowMilliseconds} ms`, async () => {
            const wideBounds = { windowMilliseconds, overshoot: 0, slack: 1_000 };
            const fleet = createQuotaFleet(requestQuota, wideBounds);
            const entries = Array.from({ length: 20 }, (...[, entry]) => entry);
            entries.forEach(fleet.start);
            await fleet.tick(1.1 * windowMilliseconds + 20_000);
            fleet.resetSentAmount();
            let elapsed = 0;
            for (const remaining of [10, 5, 1]) {
                entries.splice(remaining).forEach(entry => {
                    fleet.use(entry, 2_000);
                    fleet.stop(entry);
                });
                if (elapsed + 20_800 <= windowMilliseconds) {
                    await fleet.tick(20_800, () => fleet.use(0, 4));
                    elapsed += 20_800;
                }
            }
            await fleet.tick(Math.max(0, windowMilliseconds - elapsed - 1_200), () => fleet.use(0, 4));
            fleet.use(0, 2_000);
            expect(fleet.getSentAmount()).to.be.at.most(getAllowed(requestQuota, wideBounds));
        })
    );

    it("is charged again for requests that were charged before the contact was lost, where a late response renews it", async () => {
        const fleet = createQuotaFleet(tokenQuota, bounds);
        fleet.start(0);
        fleet.start(1);
        await fleet.tick(30_000);
        const charges = await chargeMany(fleet, 2_400);
        fleet.poll(0);
        await fleet.clock.advance(2_900);
        const finishPoll = fleet.beginPoll(0);
        // The leader counts the account for 4 s, and grants its credit to others then.
        await fleet.clock.advance(1_950);
        finishPoll();
        charges.forEach(charge => fleet.sendIfAllowed(charge, 2_400));
        const debtShare = 0.5 / 2;
        const tolerance = getAllowed(tokenQuota, bounds) - 9 * tokenQuota.amountPerSecond;
        expect(fleet.getSentAmount()).to.be.at.most(debtShare * tolerance);
    });

    it("is not used up by the amounts of an idle process in the former unit", async () => {
        const fleet = createQuotaFleet({ ...tokenQuota, amountPerSecond: 36_000, burst: 36_000 }, {
            ...bounds,
            slack: 10,
        });
        fleet.start(0);
        fleet.start(1);
        await fleet.tick(30_000);
        for (let round = 0; round < 60; round++) {
            fleet.use(0, 1, 2_400);
            fleet.poll(0);
            await fleet.clock.advance(5);
        }
        fleet.setQuota({ ...requestQuota, amountPerSecond: 20, burst: 20 });
        await fleet.tick(20_000);
        fleet.resetSentAmount();
        for (let round = 0; round < 200; round++) {
            fleet.use(1, 1);
            fleet.poll(0);
            await fleet.clock.advance(30);
            fleet.poll(1);
            await fleet.clock.advance(70);
        }
        expect(fleet.getSentAmount()).to.equal(200);
    });

    /** The tolerance of a window is 172,400; a share of 0.3 of it is for requests larger than the burst. */
    describe("with a full bucket", () => {
        const smallQuota = { ...tokenQuota, amountPerSecond: 36_000, burst: 36_000 };

        async function doTest(amount: number, expected: string, secondAfterMilliseconds?: number): Promise<void> {
            const fleet = createQuotaFleet(smallQuota, bounds);
            const entries = Array.from({ length: 20 }, (...[, entry]) => entry);
            entries.forEach(fleet.start);
            await fleet.tick(60_000);
            if (secondAfterMilliseconds !== undefined) {
                fleet.use(0, 1, amount);
                fleet.poll(0);
                await fleet.tick(secondAfterMilliseconds);
            }
            const decision = fleet.admit(0, amount);
            fleet.poll(0);
            expect((await decision).kind).to.equal(expected);
        }

        [36_000, 48_000, 60_000, 87_000].forEach(amount =>
            it(`admits a request of ${amount} tokens`, () => doTest(amount, "admitted"))
        );
        it("refuses a request that the bound of a window can't hold", () => doTest(88_000, "refused"));
        it("refuses another request larger than the burst until the bucket is full again", () =>
            doTest(80_000, "refused", 1_500));
        it("admits another one then", () => doTest(80_000, "admitted", 14_000));
    });

    it("has a full bucket for the first request of a workspace", async () => {
        const fleet = createQuotaFleet(tokenQuota, { ...bounds, overshoot: 0, slack: 0 });
        fleet.start(0);
        await fleet.tick(30_000);
        const decision = fleet.admit(0, tokenQuota.burst);
        fleet.poll(0);
        expect((await decision).kind).to.equal("admitted");
    });
});
