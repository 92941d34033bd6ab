import { expect } from "chai";
import { createServerSpeeds } from "../../src/serverSpeeds";
import { createManualClock } from "../support/createManualClock";

describe("createServerSpeeds", () => {
    function createTrial() {
        const clock = createManualClock();
        const speeds = createServerSpeeds(clock);
        return { clock, speeds, getFactor: () => speeds.getSpeed("a")?.workFactor };
    }

    it("tends to the mean of the reports, and back to the usual speed as they age", async () => {
        const { clock, speeds, getFactor } = createTrial();
        speeds.recordReport("a", 300);
        const first = getFactor()!;
        Array.from({ length: 100 }, (...[, index]) => speeds.recordReport("a", index % 2 === 0 ? 100 : 300));
        expect(getFactor()).to.be.closeTo(2, 0.05);
        expect(first).to.be.within(1.5, 2.9);
        await clock.advance(4_900);
        expect(getFactor()).to.be.within(1.1, 1.95);
        expect(speeds.getSpeed("a")?.ageMilliseconds).to.equal(4_900);
    });

    it("knows nothing of a server whose reports are too old, and keeps no state of it", async () => {
        const { clock, speeds, getFactor } = createTrial();
        speeds.recordReport("a", 300);
        await clock.advance(5_001);
        expect(getFactor()).to.equal(undefined);
        expect(speeds.getReportedIds()).to.deep.equal([]);
    });

    // One absurd report would outweigh all others in a mean.
    [0, -1, 9, 2_001, 1e300, NaN, Infinity].forEach(workPercent => {
        it(`ignores a report of ${workPercent}%`, () => {
            const { speeds, getFactor } = createTrial();
            speeds.recordReport("a", workPercent);
            expect(getFactor()).to.equal(undefined);
        });
    });

    it("is exactly the usual speed at 100%", async () => {
        const { clock, speeds, getFactor } = createTrial();
        for (let index = 0; index < 20; index++) {
            speeds.recordReport("a", 100);
            await clock.advance(137);
            expect(getFactor()).to.equal(1);
        }
    });

    it("adds the others' evidence by its age, and ignores what is absurd", () => {
        const { speeds } = createTrial();
        const others = { workWeight: 10, weightedWork: 20, ageMilliseconds: 250 };
        const getWithOthers = (changes: Partial<typeof others>) =>
            speeds.getSpeed("a", { ...others, ...changes })?.workFactor;
        expect(getWithOthers({})).to.be.within(1.8, 2);
        expect(getWithOthers({ ageMilliseconds: 3_000 })).to.be.within(1.5, 1.8);
        [{ ageMilliseconds: 5_001 }, { workWeight: 1e-8 }, { workWeight: 0.02 }, { weightedWork: NaN }].forEach(
            changes => expect(getWithOthers(changes)).to.equal(undefined),
        );
    });
});
