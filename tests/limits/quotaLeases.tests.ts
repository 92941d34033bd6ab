import { expect } from "chai";
import fc from "fast-check";
import { createQuotaLeaseClient, createQuotaOwner, QuotaKind, QuotaLeaseClient, QuotaOwner } from "../../src/limits";
import { createManualClock } from "../support/createManualClock";

describe("quota leases", () => {
    function createFixture(
        limits: { requestsPerSecond?: number; tokensPerMinute?: number; concurrentRequests?: number; },
    ) {
        const clock = createManualClock();
        let owner: QuotaOwner | undefined = createOwner();
        const clients: QuotaLeaseClient[] = [];
        return {
            clock,
            addClient,
            replaceOwner: () => void (owner = createOwner()),
            removeOwner: () => void (owner = undefined),
            stop: () => Promise.all(clients.map(client => client.stop())),
        };

        function createOwner(): QuotaOwner {
            return createQuotaOwner({ clock, getLimits: () => limits });
        }

        function addClient(): QuotaLeaseClient {
            const holder = `entry-${clients.length}`;
            const client = createQuotaLeaseClient({
                clock,
                requestQuota: (formattedName, inFlight, desired) => {
                    const grant = owner?.grant(holder, formattedName, inFlight, desired);
                    if (grant !== undefined) {
                        void clock.sleep(2).then(() =>
                            client.addGrant(formattedName, grant.granted, grant.validMilliseconds)
                        );
                    }
                },
            });
            clients.push(client);
            return client;
        }
    }

    function tryTake(client: QuotaLeaseClient, kind: QuotaKind, limit: number, amount = 1): boolean {
        const name = { level: "/corrib", kind };
        const isAvailable = client.check(name, limit, amount).kind === "available";
        if (isAvailable) {
            client.take(name, limit, amount);
        }
        return isAvailable;
    }

    it("exceed the rate by at most the leases and one request of each entry process", async () => {
        const scenario = fc.record({
            limit: fc.integer({ min: 1, max: 200 }),
            clientCount: fc.integer({ min: 1, max: 5 }),
            demandPerStep: fc.integer({ min: 1, max: 30 }),
            replacedStep: fc.integer({ min: 0, max: 300 }),
        });
        await fc.assert(
            fc.asyncProperty(scenario, async ({ limit, clientCount, demandPerStep, replacedStep }) => {
                const fixture = createFixture({ requestsPerSecond: limit });
                const clients = [...Array(clientCount).keys()].map(fixture.addClient);
                const steps = 100;
                const stepMilliseconds = 50;
                let taken = 0;
                for (let step = 0; step < steps; step++) {
                    for (let request = 0; request < demandPerStep; request++) {
                        const client = clients[(step + request) % clientCount]!;
                        taken += Number(tryTake(client, QuotaKind.RequestsPerSecond, limit));
                    }
                    if (step === replacedStep) {
                        fixture.replaceOwner();
                    }
                    await fixture.clock.advance(stepMilliseconds);
                }
                await fixture.stop();
                const seconds = steps * stepMilliseconds / 1_000;
                const lease = Math.max(1, limit / 4);
                expect(taken).to.be.at.most(limit * seconds + clientCount * (lease + 1) + lease);
            }),
            { seed: 41, numRuns: 40 },
        );
    });

    it("use most of the rate where demand is steady", async () => {
        const fixture = createFixture({ requestsPerSecond: 40 });
        const clients = [fixture.addClient(), fixture.addClient()];
        let taken = 0;
        for (let step = 0; step < 400; step++) {
            clients.forEach(client => taken += Number(tryTake(client, QuotaKind.RequestsPerSecond, 40)));
            await fixture.clock.advance(25);
        }
        await fixture.stop();
        expect(taken).to.be.at.least(0.9 * 400);
    });

    it("never admit more requests in flight than the limit plus one for each entry process", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.integer({ min: 1, max: 12 }),
                fc.array(fc.record({ client: fc.nat(2), isEnd: fc.boolean(), wait: fc.nat(3_000) }), { maxLength: 60 }),
                async (limit, steps) => {
                    const fixture = createFixture({ concurrentRequests: limit });
                    const clients = [0, 1, 2].map(fixture.addClient);
                    const inFlight = [0, 0, 0];
                    for (const { client, isEnd, wait } of steps) {
                        if (isEnd && inFlight[client]! > 0) {
                            inFlight[client]! -= 1;
                            clients[client]!.refund({ level: "/corrib", kind: QuotaKind.ConcurrentRequests }, 1);
                        }
                        else if (!isEnd) {
                            inFlight[client]! += Number(
                                tryTake(clients[client]!, QuotaKind.ConcurrentRequests, limit),
                            );
                        }
                        await fixture.clock.advance(wait);
                        const all = inFlight.reduce((sum, count) => sum + count, 0);
                        expect(all).to.be.at.most(limit + clients.length);
                    }
                    await fixture.stop();
                },
            ),
            { seed: 42, numRuns: 40 },
        );
    });

    it("admit a request larger than a lease, and no other until grants have repaid the debt", async () => {
        const fixture = createFixture({ tokensPerMinute: 60_000 });
        const client = fixture.addClient();
        expect(tryTake(client, QuotaKind.TokensPerMinute, 60_000, 20_000)).to.equal(true);
        expect(tryTake(client, QuotaKind.TokensPerMinute, 60_000, 10)).to.equal(false);
        let waitedSeconds = 0;
        while (!tryTake(client, QuotaKind.TokensPerMinute, 60_000, 10)) {
            await fixture.clock.advance(1_000);
            waitedSeconds++;
        }
        await fixture.stop();
        expect(waitedSeconds).to.be.within(18, 24);
    });

    it("refuse with the time in which the amount refills", () => {
        const fixture = createFixture({ requestsPerSecond: 2 });
        const client = fixture.addClient();
        tryTake(client, QuotaKind.RequestsPerSecond, 2);
        const outcome = client.check({ level: "/corrib", kind: QuotaKind.RequestsPerSecond }, 2, 1);
        expect(outcome).to.deep.equal({ kind: "refused", retryAfterMilliseconds: 1_000 });
        return fixture.stop();
    });

    it("continue at the last granted rate while the owner is lost", async () => {
        const fixture = createFixture({ requestsPerSecond: 40 });
        const client = fixture.addClient();
        const countFor = async (steps: number): Promise<number> => {
            let taken = 0;
            for (let step = 0; step < steps; step++) {
                taken += Number(tryTake(client, QuotaKind.RequestsPerSecond, 40));
                await fixture.clock.advance(20);
            }
            return taken;
        };
        await countFor(200);
        fixture.removeOwner();
        await countFor(150);
        const taken = await countFor(200);
        await fixture.stop();
        expect(taken).to.be.within(80, 176);
    });
});
