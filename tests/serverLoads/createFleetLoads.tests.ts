import { expect } from "chai";
import { createLoadTracker } from "../../src/forwarding";
import { addUpLoads, createFleetLoads, fleetLoadFactKind, ownLoadFactKind } from "../../src/serverLoads";
import { createTestFactStore } from "../facts/createTestFacts";
import { createManualClock } from "../support/createManualClock";

describe("createFleetLoads", () => {
    const exchangeMilliseconds = 250;
    const kinds = [ownLoadFactKind, fleetLoadFactKind];

    /** Creates entry processes whose leader distributes the sums of their load. */
    function createTrial(entryCount: number) {
        const clock = createManualClock();
        const leaderFacts = createTestFactStore(clock, "control", kinds);
        const entries = Array.from({ length: entryCount }, (...[, index]) => {
            const facts = createTestFactStore(clock, `entry-${index}`, kinds);
            const fleetLoads = createFleetLoads(facts, clock);
            return { facts, fleetLoads, loads: createLoadTracker(clock, () => false, fleetLoads) };
        });
        return { clock, entries, exchange };

        async function exchange(): Promise<void> {
            for (const { facts, fleetLoads, loads } of entries) {
                fleetLoads.reportOwn(loads.getOwnLoads());
                leaderFacts.merge(
                    facts.getChanges(0, (...[, kind]) => kind.name === ownLoadFactKind.name).facts,
                    "entry",
                );
            }
            await clock.advance(exchangeMilliseconds);
            const sums = addUpLoads(leaderFacts.getAll(ownLoadFactKind).flatMap(({ value }) => value));
            leaderFacts.publish(fleetLoadFactKind, "fleet", sums, exchangeMilliseconds);
            const { facts: sent } = leaderFacts.getChanges(0, (...[, kind]) => kind.name === fleetLoadFactKind.name);
            entries.forEach(({ facts }) => facts.merge(sent, "leader"));
        }
    }

    // Own reports that are left in the sums would count twice, and delay the effect of a change.
    it("leaves no evidence of others where only this entry process has reports", async () => {
        const { clock, entries: [first, second], exchange } = createTrial(2);
        first!.loads.recordSent("engine-1", 100, 100);
        for (let round = 0; round < 20; round++) {
            first!.loads.recordReport("engine-1", { running: 1, waiting: 0, slots: 4, workPercent: 60 + round * 13 });
            await clock.advance(37);
            await exchange();
            const others = first!.fleetLoads.getOthers("engine-1");
            // The sums are rounded on the wire.
            expect(others?.workWeight).to.be.closeTo(0, 1e-5);
            expect(others?.weightedWork).to.be.closeTo(0, 1e-5);
            const own = first!.loads.getOwnLoads()[0]!;
            expect(first!.loads.getWorkFactor("engine-1"))
                .to.equal((own.weightedWork + 0.5) / (own.workWeight + 0.5));
        }
        expect(second!.fleetLoads.getOthers("engine-1")?.workWeight).to.be.at.least(1);
        expect(second!.loads.getWorkFactor("engine-1")).to.be.at.least(1.5);
    });

    // Control members and entry processes of the last version don't know the evidence.
    it("reads load sums without evidence, which leave the speed unknown", async () => {
        const clock = createManualClock();
        const facts = createTestFactStore(clock, "entry-0", kinds);
        const fleetLoads = createFleetLoads(facts, clock);
        const loads = createLoadTracker(clock, () => false, fleetLoads);
        const formerKind = {
            ...fleetLoadFactKind,
            // BackendLoads with one load of the fields 1 to 4: "e", 3 requests, 5 tokens to prefill, 7 prompt tokens.
            encode: () => Uint8Array.of(0x0a, 9, 0x0a, 1, 0x65, 0x10, 3, 0x18, 5, 0x20, 7),
        };
        const leaderFacts = createTestFactStore(clock, "control", [formerKind]);
        leaderFacts.publish(formerKind, "fleet", []);
        facts.merge(leaderFacts.getChanges(0, () => true).facts, "leader");
        await clock.advance(exchangeMilliseconds);
        expect(fleetLoads.getOthers("e")).to.deep.equal({
            instanceId: "e",
            requestCount: 3,
            pendingPrefillTokens: 5,
            promptTokens: 7,
            workWeight: 0,
            weightedWork: 0,
            ageMilliseconds: exchangeMilliseconds,
        });
        expect(loads.getSpeed("e")).to.equal(undefined);
        loads.recordReport("e", { running: 1, waiting: 0, slots: 4, workPercent: 200 });
        expect(loads.getWorkFactor("e")).to.be.closeTo(5 / 3, 1e-9);
    });
});
