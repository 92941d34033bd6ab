import { expect } from "chai";
import { AttemptResult } from "../../src/forwarding";
import { discardBody } from "../../src/forwarding/discardBody";
import { createManualClock } from "../support/createManualClock";
import { createTestResponse } from "./createTestLink";

describe("discardBody", () => {
    // The connection was kept for a body that nobody reads any more.
    it("gives up a response whose body fails", async () => {
        let cancelCount = 0;
        const response = {
            ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
            body: (async function*(): AsyncGenerator<Uint8Array> {
                yield await Promise.reject(new Error("broken"));
            })(),
            cancel: () => cancelCount += 1,
        };
        const outcome = await discardBody(response, createManualClock()).catch((thrown: Error) => thrown.message);
        expect([outcome, cancelCount]).to.deep.equal(["broken", 1]);
    });
});
