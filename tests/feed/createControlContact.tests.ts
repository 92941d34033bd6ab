import { expect } from "chai";
import { createControlContact } from "../../src/feed/createControlContact";
import { createSilentLogger } from "../../src/logging";
import { createManualClock } from "../support/createManualClock";

describe("createControlContact", () => {
    /** Records responses, each with its time in milliseconds and the number it names, and reads the contact at a later time. */
    async function doTest(
        responses: readonly (readonly [number, number])[],
        atMilliseconds: number,
        expected: { entryCount: number; startMilliseconds: number | undefined; },
    ) {
        const clock = createManualClock();
        const contact = createControlContact(clock, createSilentLogger());
        for (const [milliseconds, entryCount] of responses) {
            await clock.advance(milliseconds - clock.getMonotonicMilliseconds());
            contact.recordResponse(entryCount);
        }
        await clock.advance(atMilliseconds - clock.getMonotonicMilliseconds());
        expect({ entryCount: contact.getEntryCount(), startMilliseconds: contact.getStartMilliseconds() })
            .to.deep.equal(expected);
    }

    it("has none before the first response", () => doTest([], 500, { entryCount: 1, startMilliseconds: undefined }));
    it("begins with the first response", () =>
        doTest([[300, 3], [700, 3]], 800, { entryCount: 3, startMilliseconds: 300 }));
    it("takes over a larger number at once", () =>
        doTest([[0, 1], [400, 3]], 400, { entryCount: 3, startMilliseconds: 0 }));
    it("keeps the larger number while a new leader has not heard of all processes", () =>
        doTest([[0, 3], [400, 1], [800, 2]], 900, { entryCount: 3, startMilliseconds: 0 }));
    it("takes over a smaller number that has been named for long", () =>
        doTest([[0, 3], [400, 2], [5_000, 2], [10_100, 2]], 10_100, { entryCount: 2, startMilliseconds: 0 }));
    it("counts at least this process", () => doTest([[0, 0]], 100, { entryCount: 1, startMilliseconds: 0 }));
    it("ends as control no longer counts this process, and keeps the number", () =>
        doTest([[0, 3]], 10_001, { entryCount: 3, startMilliseconds: undefined }));
    it("begins anew after it has ended", () =>
        doTest([[0, 3], [10_001, 2]], 10_100, { entryCount: 2, startMilliseconds: 10_001 }));
});
