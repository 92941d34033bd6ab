import { expect } from "chai";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createPromptScheduler", () => {
    describe("choose", () => {
        async function doTest(kvCacheCapacityTokens: number) {
            const clock = createManualClock();
            const services = createTestDocument().services.map(service =>
                service.kind === "engine" ? { ...service, kvCacheCapacityTokens } : service
            );
            const state = createTestFeedState(clock, [createTestInstance()], { services });
            const link = createTestLink(() => createTestResponse(["id: 1\ndata: x\n\n"]));
            const reply = createTestReply();
            void createTestForwarder(state, link, clock).forward(
                createTestRequest(createTestRequest.createPrompt("/labels/1")),
                reply,
            );
            await clock.advance(100);
            expect(reply.getText()).to.equal("200 id: 1\ndata: x\n\nend");
        }

        it("finds an engine for a prompt where the document states no capacity", () => doTest(0));
        it("finds an engine for a prompt that is larger than the capacity", () => doTest(1));
    });
});
