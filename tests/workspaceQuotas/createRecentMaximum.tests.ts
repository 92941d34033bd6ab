import { expect } from "chai";
import { createRecentMaximum } from "../../src/workspaceQuotas";
import { createManualClock } from "../support/createManualClock";

describe("createRecentMaximum", () => {
    /** Records values 100 ms apart, and gets the maximum some time after the last one. */
    async function doTest(values: number[], waitMilliseconds: number, expected: number): Promise<void> {
        const clock = createManualClock();
        const maximum = createRecentMaximum(1_000, clock);
        for (const value of values) {
            await clock.advance(100);
            maximum.record(value);
        }
        await clock.advance(waitMilliseconds);
        expect(maximum.get()).to.equal(expected);
    }

    it("is none before a value", () => doTest([], 0, -Infinity));
    it("counts a value until its successor has been in force for the retention", () => doTest([5, 3], 1_000, 5));
    it("forgets a value then", () => doTest([5, 3], 1_001, 3));
    it("keeps the value in force without limit of time", () => doTest([5], 60_000, 5));
    it("finds the largest of those that count", () => doTest([9, 2, 4, 3], 750, 9));
    it("finds the next one after the largest is forgotten", () => doTest([9, 2, 4, 3], 850, 4));
});
