import { expect } from "chai";
import * as fc from "fast-check";
import { QuotaUnit } from "../../src/documents";
import { quotaTiming } from "../../src/workspaceQuotas";
import { QuotaEventKind, QuotaHistory, QuotaSimulation, simulateQuotas } from "./simulateQuotas";

describe("the quota of a workspace over several entry processes", function() {
    this.timeout(0);
    const lengthMilliseconds = 45_000;
    /** The number of histories by hand: QUOTA_HISTORIES=2500, with another QUOTA_SEED; QUOTA_REPORT=1 prints the totals. */
    const historyCount = Number(process.env.QUOTA_HISTORIES ?? 300);
    const quotas = [36_000, 120_000, 355_710].map(amount => ({
        unit: QuotaUnit.Tokens,
        amountPerSecond: amount,
        burst: amount,
        defaultRequestTokens: 200,
    }));
    const bounds = { windowMilliseconds: 8_000, overshoot: 0.1, slack: 140_000 };
    const quiet: QuotaHistory = {
        seed: 1,
        entryCount: 20,
        firstCount: 20,
        quota: quotas[2]!,
        bounds,
        demand: 1 / 1.8,
        surge: { factor: 1, fromMilliseconds: 0, forMilliseconds: 0 },
        skew: 0,
        largeTokens: 12_000,
        lengthMilliseconds,
        countFromMilliseconds: 15_000,
        deliveryMilliseconds: 0,
        slowShare: 0,
        events: [],
    };

    it("is never exceeded in any history of starts, cuts, standstills, leaders, queues, surges and changed quotas", async () => {
        const times = fc.integer({ min: 0, max: lengthMilliseconds });
        const durations = fc.integer({ min: 100, max: 12_000 });
        const requestQuota = {
            unit: QuotaUnit.Requests,
            amountPerSecond: 20,
            burst: 10,
            defaultRequestTokens: 0,
        };
        const histories: fc.Arbitrary<QuotaHistory> = fc.record({
            seed: fc.integer({ min: 1, max: 1_000_000 }),
            entryCount: fc.constantFrom(1, 2, 3, 5, 8, 20),
            firstCount: fc.constantFrom(1, 3, 20),
            quota: fc.constantFrom(...quotas, requestQuota),
            bounds: fc.constantFrom(
                bounds,
                bounds,
                { windowMilliseconds: 8_000, overshoot: 0.1, slack: 0 },
                { windowMilliseconds: 2_000, overshoot: 0, slack: 10 },
                { windowMilliseconds: 16_000, overshoot: 0.1, slack: 140_000 },
                { windowMilliseconds: 8_000, overshoot: 0, slack: 0 },
            ),
            demand: fc.constantFrom(1 / 1.8, 1 / 1.8, 1, 3),
            surge: fc.record({
                factor: fc.constantFrom(1, 3, 9),
                fromMilliseconds: times,
                forMilliseconds: durations,
            }),
            skew: fc.constantFrom(0, 0, 0.3, 0.9),
            largeTokens: fc.constantFrom(12_000, 12_000, 30_000),
            lengthMilliseconds: fc.constant(lengthMilliseconds),
            countFromMilliseconds: fc.constant(0),
            deliveryMilliseconds: fc.constantFrom(0, 900),
            slowShare: fc.constantFrom(0, 0.03, 0.3),
            events: fc.array(
                fc.record({
                    kind: fc.constantFrom(...Object.values(QuotaEventKind)),
                    atMilliseconds: times,
                    forMilliseconds: durations,
                    entry: fc.integer({ min: 0, max: 19 }),
                    factor: fc.constantFrom(0.1, 0.3, 0.5, 1.5, 3),
                }),
                { maxLength: 25 },
            ),
        });
        let worst = 0;
        let exceededCount = 0;
        let counts = { offered: 0, refused: 0, lost: 0, waited: 0, offeredBelow: 0, lostBelow: 0 };
        await fc.assert(
            fc.asyncProperty(histories, async history => {
                const simulation = await simulateQuotas(history);
                worst = Math.max(worst, simulation.worst);
                exceededCount += Number(simulation.worst > 1 + 1e-9);
                const isBelow = Number(
                    history.demand * history.surge.factor < 1
                        && history.events.every(({ kind }) => kind !== QuotaEventKind.Quota),
                );
                counts = {
                    offered: counts.offered + simulation.offered,
                    refused: counts.refused + simulation.refused,
                    lost: counts.lost + simulation.lost,
                    waited: counts.waited + simulation.waited,
                    // The histories whose demand is below the quota throughout.
                    offeredBelow: counts.offeredBelow + isBelow * simulation.offered,
                    lostBelow: counts.lostBelow + isBelow * simulation.lost,
                };
                return simulation.worst <= 1 + 1e-9;
            }),
            { seed: Number(process.env.QUOTA_SEED ?? 77), numRuns: historyCount },
        );
        report(`${historyCount} histories`, { worst, exceededCount, ...counts });
    });

    /** Plays a history. Requests of its first 15 s, in which no process has a debt limit, are not counted. */
    async function doTest(
        changes: Partial<QuotaHistory>,
        check: (simulation: QuotaSimulation) => void,
    ): Promise<void> {
        const simulation = await simulateQuotas({ ...quiet, ...changes });
        report(JSON.stringify({ ...changes, quota: changes.quota?.amountPerSecond }), simulation);
        expect(simulation.worst).to.be.at.most(1);
        check(simulation);
    }

    function report(title: string, values: object): void {
        if (process.env.QUOTA_REPORT !== undefined) {
            process.stdout.write(`${title}: ${JSON.stringify(values)}\n`);
        }
    }

    /** A request that one bucket for all processes would have admitted is a loss for its caller. */
    const maximumLostShare = 0.01;
    const maximumWaitingShare = 0.5;
    quotas.forEach(quota =>
        it(`admits the usual demand for ${quota.amountPerSecond} tokens a second, mostly without a round trip`, () =>
            doTest({ quota, lengthMilliseconds: 120_000 }, ({ offered, lost, waited }) => {
                expect(lost / offered).to.be.at.most(maximumLostShare);
                expect(waited / offered).to.be.at.most(maximumWaitingShare);
            }))
    );

    /** Requests that were charged before the quota was lowered must not all be sent after it binds. */
    [0.1, 0.3].forEach(factor =>
        [3, 20].forEach(entryCount =>
            it(`is not exceeded by requests that were held while it was multiplied by ${factor}, at ${entryCount} processes`, () => {
                const event = { entry: 0, factor, atMilliseconds: 29_500 };
                const events = [
                    { ...event, kind: QuotaEventKind.Holding, forMilliseconds: 12_000 },
                    { ...event, kind: QuotaEventKind.Quota, forMilliseconds: 0, atMilliseconds: 32_000 },
                ];
                return doTest({ events, entryCount, demand: 3, lengthMilliseconds: 75_000 }, () => undefined);
            })
        )
    );

    /**
     * A new leader's bucket is empty, and it grants little for 4 s. Until then requests may be lost that wait for a grant, which
     * are half of all at most; none of those within debt limits.
     */
    const gapMilliseconds = 700;
    const newLeaderLostShare = maximumLostShare
        + maximumWaitingShare * (gapMilliseconds + quotaTiming.accountLifetime) / 45_000;
    quotas.forEach(quota =>
        it(`loses few requests of ${quota.amountPerSecond} tokens a second to a new leader after 0.7 s`, () => {
            const event = {
                kind: QuotaEventKind.NewLeader,
                atMilliseconds: 30_000,
                forMilliseconds: gapMilliseconds,
                entry: 0,
                factor: 1,
            };
            return doTest(
                { quota, events: [event], lengthMilliseconds: 60_000 },
                ({ offered, lost }) => expect(lost / offered).to.be.at.most(newLeaderLostShare),
            );
        })
    );

    it("gives a workspace in excess all that its quota allows, with few polls", () =>
        doTest({ demand: 5 }, ({ arrivedAmount, polls }) => {
            const allowed = quiet.quota.amountPerSecond * lengthMilliseconds / 1_000;
            expect(arrivedAmount / allowed).to.be.at.least(0.9);
            // Without any quota, each of 20 processes sends 2.5 polls a second.
            expect(polls / (lengthMilliseconds / 1_000)).to.be.at.most(20 * 15);
        }));
});
