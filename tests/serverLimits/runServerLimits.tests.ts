import { expect } from "chai";
import { ConsensusRole, LogStatus } from "../../src/control/consensus";
import { createEntryRegistry } from "../../src/feed";
import { SharedLimit } from "../../src/fleet";
import { createNodeRanking } from "../../src/routing";
import { createLimitLedger, publishLimitStatements, runServerLimits } from "../../src/serverLimits";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("runServerLimits", () => {
    function createFixture(role: ConsensusRole) {
        const clock = createManualClock();
        const ledger = createLimitLedger(clock, createNodeRanking());
        const entryRegistry = createEntryRegistry(clock);
        const updates: (readonly SharedLimit[])[] = [];
        entryRegistry.recordPoll("entry-1");
        const facts = createTestFactStore(clock);
        publishLimitStatements(
            facts,
            ["engine-1", "engine-gone"].map(instanceId => ({
                statementId: instanceId,
                instanceId,
                requestsPerSecond: 2,
                ageMilliseconds: 0,
            })),
        );
        void runServerLimits({
            log: { getStatus: () => ({ role }) as LogStatus },
            facts,
            ledger,
            entryRegistry,
            fleetTracker: {
                getInstances: () => [createTestInstance({ instanceId: "engine-1" })],
                setServerLimits: limits => updates.push(limits),
            },
            clock,
            signal: new AbortController().signal,
        });
        return { clock, updates };
    }

    it("shows the limits of listed backend servers at the leader", async () => {
        const { clock, updates } = createFixture(ConsensusRole.Leader);
        await clock.advance(1_000);
        expect(updates.at(-1)!.map(({ instanceId, holderCount }) => [instanceId, holderCount]))
            .to.deep.equal([["engine-1", 1]]);
    });

    it("shows none at other members", async () => {
        const { clock, updates } = createFixture(ConsensusRole.Follower);
        await clock.advance(1_000);
        expect(updates).to.deep.equal([]);
    });
});
