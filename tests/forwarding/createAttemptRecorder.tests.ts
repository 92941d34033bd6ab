import { expect } from "chai";
import { AttemptResult } from "../../src/forwarding";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createAttemptRecorder", () => {
    /** Returns whether a silent server's request is hedged after several requests that were not sent to any server. */
    async function isHedged(notSent: AttemptResult): Promise<boolean> {
        const clock = createManualClock();
        const instances = ["actions-1", "actions-2"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        );
        let isSending = false;
        let silentId: string | undefined;
        const link = createTestLink(({ instance: { instanceId } }) => {
            if (!isSending) {
                return notSent;
            }
            silentId ??= instanceId;
            return instanceId === silentId ? new Promise(() => undefined) : createTestResponse(["done"]);
        }, instanceId => instanceId !== silentId);
        const forwarder = createTestForwarder(createTestFeedState(clock, instances), link, clock);
        for (let count = 0; count < 5; count++) {
            await forwarder.forward(createTestRequest(), createTestReply());
        }
        isSending = true;
        const reply = createTestReply();
        void forwarder.forward(createTestRequest(), reply);
        await clock.advance(1_000);
        return reply.getText() === "200 done whole";
    }

    async function doTest(notSent: AttemptResult, expected: boolean) {
        expect(await isHedged(notSent)).to.equal(expected);
    }

    it("takes a server that can't be reached for one that has failed", () =>
        doTest({ kind: "notSent", reason: "the connection timed out" }, false));
    it("takes no server for one that has failed where all connections to it are in use", () =>
        doTest({ kind: "notSent", reason: "all connections are in use", isServerSound: true }, true));
});
