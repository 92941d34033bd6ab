import { expect } from "chai";
import { createBackoff, createRetryBudget } from "../../src/limits";
import { createRandomSource } from "../../src/runtime";
import { createManualClock } from "../support/createManualClock";

describe("createRetryBudget", () => {
    it("allows its reserve and then a share of first attempts", () => {
        const budget = createRetryBudget(0.1, 5);
        let retries = 0;
        for (let attempt = 0; attempt < 1_000; attempt++) {
            budget.addFirstAttempt();
            retries += Number(budget.tryTakeRetry());
            retries += Number(budget.tryTakeRetry());
        }
        expect(retries).to.be.within(99, 105);
    });

    it("allows none where first attempts earn none", () => {
        const budget = createRetryBudget(0, 5);
        budget.addFirstAttempt();
        expect(budget.tryTakeRetry()).to.equal(false);
    });
});

describe("createBackoff", () => {
    function createTestBackoff(deadlineMilliseconds: number) {
        const clock = createManualClock();
        return createBackoff({
            clock,
            random: createRandomSource(1),
            deadlineMilliseconds,
            baseDelayMilliseconds: 100,
        });
    }

    it("waits within a bound that doubles", () => {
        const backoff = createTestBackoff(100_000);
        for (const bound of [100, 200, 400, 800, 1_600, 2_000, 2_000]) {
            expect(backoff.getNextDelayMilliseconds()).to.be.within(0, bound);
        }
    });

    it("waits as long as a refusal asks for", () => {
        expect(createTestBackoff(100_000).getNextDelayMilliseconds(3_000)).to.be.within(3_000, 3_100);
    });

    it("ends where the next retry would come after the deadline", () => {
        expect(createTestBackoff(1_000).getNextDelayMilliseconds(1_000)).to.equal(undefined);
    });
});
