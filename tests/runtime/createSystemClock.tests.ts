import { expect } from "chai";
import { createSystemClock } from "../../src/runtime";

describe("createSystemClock", () => {
    describe("sleep", () => {
        async function doTest(milliseconds: number) {
            const woken = new AbortController();
            let isOver = false;
            const slept = createSystemClock().sleep(milliseconds, woken.signal).then(() => isOver = true);
            await createSystemClock().sleep(20);
            expect(isOver).to.equal(false);
            woken.abort();
            await slept;
        }

        it("doesn't end at once where it is longer than timers of Node.js", () => doTest(3_000_000_000));
        it("doesn't end where it has no end", () => doTest(Infinity));
    });
});
