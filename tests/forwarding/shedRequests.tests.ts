import { expect } from "chai";
import { createMetrics } from "../../src/metrics";
import { RefusalReason } from "../../src/protocol";
import { createTestWorkspaces } from "../documents/createTestWorkspaces";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createForwarder, where the only engine is too full", () => {
    /** Sends a request behind more prompts than the engine has memory for, or reads in its time. */
    async function sendBehindOthers(workspaceNames: readonly string[], hasQuotas = true, workPercent?: number) {
        const clock = createManualClock();
        const workspaces = createTestWorkspaces(workspaceNames, hasQuotas);
        const state = createTestFeedState(clock, [createTestInstance()], { workspaces });
        const link = createTestLink((...[, number]) =>
            number === 0
                ? {
                    ...createTestResponse(["id: 1\ndata: x\n\n"]),
                    load: { running: 8, waiting: 100, slots: 8, ...workPercent === undefined ? {} : { workPercent } },
                } as ReturnType<typeof createTestResponse>
                : new Promise(() => undefined)
        );
        const metrics = createMetrics();
        const forwarder = createTestForwarder(state, link, clock, { metrics });
        const send = (index: number) => {
            const reply = createTestReply();
            const request = createTestRequest({
                ...createTestRequest.createPrompt(`/summaries/${index}`),
                requestId: `request-${index}`,
                callerMilliseconds: 2_000,
            });
            void forwarder.forward(request, reply);
            return reply;
        };
        send(0);
        await clock.advance(10);
        for (let index = 1; index <= 130; index++) {
            send(index);
        }
        await clock.advance(0);
        const sentCount = link.attempts.length;
        const reply = send(131);
        await clock.advance(0);
        return { isSent: link.attempts.length > sentCount, refusal: reply.getRefusal(), metrics };
    }

    it("refuses a request at once that could not be answered in time, as not run", async () => {
        const { isSent, refusal, metrics } = await sendBehindOthers(["alpha", "beta"]);
        expect([isSent, refusal?.kind, refusal?.reason]).to.deep.equal([false, "notRun", RefusalReason.OVERLOADED]);
        expect(await metrics.getText()).to.match(
            /contention_refusals_total\{reason="serversFull",workspace_class="\w+"\} \d/,
        );
    });

    it("refuses it also without quotas where the engine has reported its speed", async () => {
        const { isSent, refusal } = await sendBehindOthers(["alpha"], false, 100);
        expect([isSent, refusal?.kind, refusal?.reason]).to.deep.equal([false, "notRun", RefusalReason.OVERLOADED]);
    });

    // Deployments that don't ask for contention to be decided must not see new refusals.
    function doUnchangedTest(title: string, workspaceNames: readonly string[], hasQuotas: boolean) {
        it(`sends it as before under a document ${title}`, async () => {
            const { isSent, refusal } = await sendBehindOthers(workspaceNames, hasQuotas);
            expect([isSent, refusal]).to.deep.equal([true, undefined]);
        });
    }

    doUnchangedTest("with one workspace and one priority", ["alpha"], true);
    doUnchangedTest("without quotas", ["alpha", "beta"], false);
});
