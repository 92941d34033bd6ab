import { expect } from "chai";
import { createNodeRanking } from "../../src/routing";
import { createLimitLedger, LimitStatement } from "../../src/serverLimits";
import { createManualClock } from "../support/createManualClock";

describe("createLimitLedger", () => {
    const entryIds = Array.from({ length: 12 }, (...[, index]) => `entry-${index}`);

    function createFixture() {
        const clock = createManualClock();
        const ledger = createLimitLedger(clock, createNodeRanking());
        let count = 0;
        return { clock, ledger, add, getLimit };

        function add(requestsPerSecond: number, changes: Partial<LimitStatement> = {}) {
            count += 1;
            const statement = {
                statementId: `1.${count}`,
                instanceId: "engine-1",
                requestsPerSecond,
                ageMilliseconds: 0,
            };
            ledger.addStatement({ ...statement, ...changes });
        }

        function getLimit() {
            return ledger.getSharedLimits(entryIds)[0]?.requestsPerSecond;
        }
    }

    it("keeps the newest statement by when the backend server said it, not by when it arrived", async () => {
        const { clock, add, getLimit } = createFixture();
        await clock.advance(1_000);
        add(2);
        add(5, { ageMilliseconds: 500 });
        expect(getLimit()).to.equal(2);
        await clock.advance(100);
        add(3, { ageMilliseconds: 50 });
        expect(getLimit()).to.equal(3);
    });

    it("does not take a repeated statement for a new one", async () => {
        const { clock, add, getLimit } = createFixture();
        add(2, { statementId: "old" });
        await clock.advance(100);
        add(3);
        await clock.advance(100);
        add(2, { statementId: "old" });
        expect(getLimit()).to.equal(3);
    });

    it("shows the end of a limit for a minute", async () => {
        const { clock, add, getLimit } = createFixture();
        add(2);
        add(0);
        expect(getLimit()).to.equal(0);
        await clock.advance(60_001);
        expect(getLimit()).to.equal(undefined);
    });

    it("lets a few entry processes share a small limit, and all of them a large one", () => {
        const { ledger, add } = createFixture();
        add(1.1);
        add(20, { instanceId: "engine-2" });
        const [small, large] = ledger.getSharedLimits(entryIds);
        expect([small!.holderCount, small!.holderIds.length]).to.deep.equal([5, 5]);
        expect([large!.holderCount, large!.holderIds.length]).to.deep.equal([12, 0]);
    });

    it("chooses others only for holders that are gone", () => {
        const { ledger, add } = createFixture();
        add(1);
        const [{ holderIds: before } = { holderIds: [] }] = ledger.getSharedLimits(entryIds);
        const [{ holderIds: after } = { holderIds: [] }] = ledger.getSharedLimits(
            entryIds.filter(id => id !== before[0]),
        );
        expect(after).to.include.members(before.slice(1));
    });
});
