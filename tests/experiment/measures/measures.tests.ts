import { expect } from "chai";
import fc from "fast-check";
import { RequestRecord } from "../../../src/experiment/client";
import {
    getFairnessIndex,
    getJainIndex,
    getMaxMinFairShares,
    getPercentiles,
    getPrefixHitRate,
    getWindowStatistics,
} from "../../../src/experiment/measures";
import { createCompletionRecord } from "../createCompletionRecord";

describe("getPercentiles", () => {
    function doTest(values: readonly number[], expected: object): void {
        expect(getPercentiles(values)).to.deep.equal(expected);
    }

    it("returns zeros without values", () => doTest([], { p50: 0, p95: 0, p99: 0 }));
    it("returns the value if there is only one", () => doTest([7], { p50: 7, p95: 7, p99: 7 }));
    it("uses the nearest-rank method", () =>
        doTest(Array.from({ length: 200 }, (...parts) => 200 - parts[1]), { p50: 100, p95: 190, p99: 198 }));
});

describe("getMaxMinFairShares", () => {
    function doTest(demands: readonly number[], capacity: number, expected: readonly number[]): void {
        expect(getMaxMinFairShares(demands, capacity)).to.deep.equal(expected);
    }

    it("divides equally if all demand more", () => doTest([10, 10], 8, [4, 4]));
    it("divides what one does not need among the others", () => doTest([1, 10, 10], 9, [1, 4, 4]));
    it("gives nobody more than its demand", () => doTest([2, 3], 100, [2, 3]));

    it("never exceeds a demand, and uses the whole capacity as far as it is demanded", () => {
        const demands = fc.array(fc.nat(1_000), { minLength: 1, maxLength: 20 });
        fc.assert(
            fc.property(demands, fc.nat(5_000), (values, capacity) => {
                const shares = getMaxMinFairShares(values, capacity);
                const total = values.reduce((sum, demand) => sum + demand, 0);
                shares.forEach((share, index) => expect(share).to.be.at.most(values[index]! + 1e-6));
                expect(shares.reduce((sum, share) => sum + share, 0))
                    .to.be.closeTo(Math.min(total, capacity), 1e-6);
            }),
            { seed: 3 },
        );
    });
});

describe("getJainIndex", () => {
    it("is 1 if all get the same part", () => expect(getJainIndex([0.5, 0.5, 0.5])).to.equal(1));
    it("is 1/n if one of n gets everything", () => expect(getJainIndex([1, 0, 0, 0])).to.equal(0.25));
    it("is 1 without participants", () => expect(getJainIndex([])).to.equal(1));
});

describe("getFairnessIndex", () => {
    function doTest(records: readonly RequestRecord[], expected: number): void {
        expect(getFairnessIndex(records, 1_000)).to.be.closeTo(expected, 1e-9);
    }

    const first = createCompletionRecord({ workspace: "first", tokens: 100 });
    const second = createCompletionRecord({ workspace: "second", tokens: 100 });

    it("is 1 if everything was served", () => doTest([first, second], 1));
    it("falls if one of two gets nothing", () => doTest([first, { ...second, outcome: "refused" }], 0.5));
    it("counts completions after the end of arrivals as not served", () =>
        doTest([first, { ...second, endMilliseconds: 2_000 }], 0.5));
    it("is not lowered by a subscriber whose demand exceeds its share", () =>
        doTest([first, second, ...Array<RequestRecord>(20).fill({ ...first, outcome: "refused" })], 1));
});

describe("getPrefixHitRate and getWindowStatistics", () => {
    const records = [
        createCompletionRecord({
            arrivalMilliseconds: 0,
            promptTokens: 100,
            cachedTokens: 0,
            firstTokenMilliseconds: 50,
        }),
        createCompletionRecord({
            arrivalMilliseconds: 500,
            promptTokens: 300,
            cachedTokens: 300,
            firstTokenMilliseconds: 9,
        }),
    ];

    it("weights requests by their tokens", () => expect(getPrefixHitRate(records)).to.equal(0.75));

    it("counts only requests that arrived within the window", () => {
        expect(getWindowStatistics(records, 500, 1_000)).to.deep.equal({
            requests: 1,
            prefixHitRate: 1,
            timeToFirstTokenMilliseconds: { p50: 9, p95: 9, p99: 9 },
        });
    });
});
