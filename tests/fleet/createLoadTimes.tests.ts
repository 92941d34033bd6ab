import { expect } from "chai";
import { createLoadTimes } from "../../src/fleet";
import { createManualClock } from "../support/createManualClock";

describe("createLoadTimes", () => {
    it("holds the store for busy from the choice to the end while no load was measured", async () => {
        const clock = createManualClock();
        const times = createLoadTimes(clock);
        times.noteChosen("engine-1");
        times.noteAccepted("engine-1");
        await clock.advance(1_000);
        expect(times.isStoreBusy("engine-1")).to.equal(true);
        times.noteServed("engine-1");
        times.noteEnded("engine-1");
        expect(times.isStoreBusy("engine-1")).to.equal(false);
    });

    it("frees the store somewhat before a load as long as the shortest one shows", async () => {
        const clock = createManualClock();
        const times = createLoadTimes(clock);
        times.noteAccepted("engine-1");
        await clock.advance(1_050);
        times.noteServed("engine-1");
        times.noteEnded("engine-1");
        times.noteChosen("engine-2");
        times.noteAccepted("engine-2");
        await clock.advance(649);
        expect(times.isStoreBusy("engine-2")).to.equal(true);
        await clock.advance(1);
        expect(times.isStoreBusy("engine-2")).to.equal(false);
    });
});
