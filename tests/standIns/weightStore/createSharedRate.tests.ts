import { expect } from "chai";
import { createSharedRate } from "../../../src/standIns/weightStore/createSharedRate";
import { createAutoAdvancingClock } from "../createAutoAdvancingClock";

describe("createSharedRate", () => {
    async function doTest(transfers: number, expectedMilliseconds: number): Promise<void> {
        const clock = createAutoAdvancingClock();
        const rate = createSharedRate(2, 800, clock);
        await Promise.all(Array.from({ length: transfers }, rate.transfer));
        expect(clock.getMonotonicMilliseconds()).to.be.closeTo(expectedMilliseconds, 0.001);
        expect(rate.getTransferCount()).to.equal(0);
    }

    it("runs one transfer at full speed", () => doTest(1, 800));
    it("runs two transfers at full speed", () => doTest(2, 800));
    it("shares the rate of two among three", () => doTest(3, 1_200));
    it("shares the rate of two among eight", () => doTest(8, 3_200));
});
