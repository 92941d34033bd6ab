import { expect } from "chai";
import { createLogLimiter } from "../../src/logging";

describe("createLogLimiter", () => {
    function doTest(input: readonly [milliseconds: number, cause: string][], expected: readonly string[]): void {
        let now = 0;
        const limiter = createLogLimiter({ getMonotonicMilliseconds: () => now });
        const written: string[] = [];
        input.forEach(([milliseconds, cause]) => {
            now = milliseconds;
            limiter.limit(cause, suppressedCount => written.push(`${cause} ${suppressedCount}`));
        });
        expect(written).to.deep.equal(expected);
    }

    it("writes one line a second for a cause, with the number that it suppressed", () =>
        doTest([[0, "a"], [1, "a"], [999, "a"], [1_000, "a"], [2_500, "a"]], ["a 0", "a 2", "a 0"]));

    it("does not suppress another cause", () => doTest([[0, "a"], [1, "b"], [2, "a"]], ["a 0", "b 0"]));
});
