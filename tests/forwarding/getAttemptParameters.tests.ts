import { expect } from "chai";
import { AttemptResult } from "../../src/forwarding";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("getAttemptParameters", () => {
    async function forward(maximumConnections: number, entryCount: number, result: AttemptResult) {
        const clock = createManualClock();
        const instances = ["actions-1", "actions-2"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        );
        const services = createTestDocument().services.map(service =>
            service.kind === "keptCache" ? service : { ...service, maximumConnections }
        );
        const state = createTestFeedState(clock, instances, { services });
        state.getEntryCount = () => entryCount;
        const link = createTestLink(() => result);
        const reply = createTestReply();
        void createTestForwarder(state, link, clock).forward(createTestRequest(), reply);
        await clock.advance(0);
        return { attempts: link.attempts, refusal: reply.getRefusal()?.kind };
    }

    function doTest(maximumConnections: number, entryCount: number, expected: number) {
        it(`lets one of ${entryCount} entry processes hold ${expected} of ${maximumConnections} connections`, async () => {
            const { attempts } = await forward(maximumConnections, entryCount, createTestResponse(["done"]));
            expect(attempts.map(attempt => attempt.maximumConnections)).to.deep.equal([expected]);
        });
    }

    doTest(100, 4, 20);
    doTest(100, 1_000, 4);
    doTest(1, 1, 4);
    doTest(0, 1, 4);
    doTest(3e9, 1, 2.4e9);

    it("has a request refused at once, as not run, where no server has a connection left", async () => {
        const { attempts, refusal } = await forward(0, 1, { kind: "notSent", reason: "all connections are in use" });
        expect([attempts.length, refusal]).to.deep.equal([2, "notRun"]);
    });
});
