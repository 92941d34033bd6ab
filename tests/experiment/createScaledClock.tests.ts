import { expect } from "chai";
import { createScaledClock } from "../../src/experiment";
import { createAutoAdvancingClock } from "../standIns/createAutoAdvancingClock";

describe("createScaledClock", () => {
    it("runs slower than the clock that it scales", async () => {
        const clock = createAutoAdvancingClock();
        const scaledClock = createScaledClock(clock, 3);
        await scaledClock.sleep(100);
        expect(clock.getMonotonicMilliseconds()).to.equal(300);
        expect(scaledClock.getMonotonicMilliseconds()).to.equal(100);
    });
});
