import { expect } from "chai";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createSystemClock, runWithTimeout } from "../../src/runtime";
import { createManualClock } from "../support/createManualClock";

describe("runWithTimeout", () => {
    const waitForAbort = (signal: AbortSignal) =>
        new Promise<string>(resolve => signal.addEventListener("abort", () => resolve("aborted"), { once: true }));

    it("returns the result of an operation that ends in time", async () => {
        expect(await runWithTimeout(createManualClock(), 100, undefined, () => Promise.resolve("done"))).to.equal(
            "done",
        );
    });

    it("ends the operation after the timeout", async () => {
        const clock = createManualClock();
        const result = runWithTimeout(clock, 100, undefined, waitForAbort);
        await clock.advance(100);
        expect(await result).to.equal("aborted");
    });

    it("ends the operation together with the other signal", async () => {
        const controller = new AbortController();
        const result = runWithTimeout(createManualClock(), 100, controller.signal, waitForAbort);
        controller.abort();
        expect(await result).to.equal("aborted");
    });

    it("ends an operation whose signal nothing else refers to when garbage is collected", async () => {
        setFlagsFromString("--expose-gc");
        const collectGarbage = runInNewContext("gc") as () => void;
        const collection = setInterval(collectGarbage, 5);
        try {
            const results = Array.from(
                { length: 5 },
                () => runWithTimeout(createSystemClock(), 50, new AbortController().signal, waitForAbort),
            );
            expect(await Promise.all(results)).to.deep.equal(Array(5).fill("aborted"));
        }
        finally {
            clearInterval(collection);
        }
    });
});
