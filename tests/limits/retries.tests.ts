import { expect } from "chai";
import { createBackoff, createRetryBudget } from "../../src/limits";
import { createRandomSource } from "../../src/runtime";
import { createManualClock } from "../support/createManualClock";

describe("createRetryBudget", () => {
    it("allows the saved retries and then a share of first attempts", () => {
        const budget = createRetryBudget(0.1, 5);
        let retries = 0;
        for (let attempt = 0; attempt < 1_000; attempt++) {
            budget.addFirstAttempt();
            retries += Number(budget.tryTakeRetry());
            retries += Number(budget.tryTakeRetry());
        }
        expect(retries).to.be.within(99, 105);
    });

    it("allows none where first attempts add none", () => {
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

    it("limits the delay by a maximum that doubles with each retry", () => {
        const backoff = createTestBackoff(100_000);
        for (const maximumMilliseconds of [100, 200, 400, 800, 1_600, 2_000, 2_000]) {
            expect(backoff.getNextDelayMilliseconds()).to.be.within(0, maximumMilliseconds);
        }
    });

    it("adds the delay that a refusal asks for", () => {
        expect(createTestBackoff(100_000).getNextDelayMilliseconds(3_000)).to.be.within(3_000, 3_100);
    });

    it("ends where the next retry would be after the deadline", () => {
        expect(createTestBackoff(1_000).getNextDelayMilliseconds(1_000)).to.equal(undefined);
    });
});
