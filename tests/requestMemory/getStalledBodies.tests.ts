import { expect } from "chai";
import { BodyState, getStalledBodies } from "../../src/requestMemory";

describe("getStalledBodies", () => {
    const nowMilliseconds = 100_000;

    /** Finds among bodies, given by their time without progress in milliseconds. */
    function doTest(bodies: Record<string, { stalled: number; } & Partial<BodyState>>, expected: string | undefined) {
        const states = Object.entries(bodies).map(([name, { stalled, ...changes }]) => ({
            name,
            reservedBytes: 1_000,
            excessBytes: 0,
            requestedBytes: undefined,
            waitingSinceMilliseconds: 0,
            progressMilliseconds: nowMilliseconds - stalled,
            arrivalMilliseconds: nowMilliseconds,
            isComplete: false,
            ...changes,
        }));
        expect(getStalledBodies(states, nowMilliseconds).at(0)?.name).to.equal(expected);
    }

    it("finds the one without progress for longest, also if another one occupies more", () =>
        doTest({ short: { stalled: 2_000, reservedBytes: 9_000 }, long: { stalled: 3_000 } }, "long"));
    it("finds the largest of those without progress for about as long", () =>
        doTest({ small: { stalled: 3_050 }, large: { stalled: 3_000, reservedBytes: 9_000 } }, "large"));
    it("finds none that has made progress a moment ago", () => doTest({ active: { stalled: 499 } }, undefined));
    it("finds none that waits for memory, as it is not read", () =>
        doTest({ waiting: { stalled: 3_000, requestedBytes: 5_000 } }, undefined));
    it("finds none that is complete", () => doTest({ complete: { stalled: 3_000, isComplete: true } }, undefined));
});
