import { expect } from "chai";
import { AttemptResult, ForwardedRequest } from "../../src/forwarding";
import { RefusalReason } from "../../src/protocol";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock, ManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse, lostResult, overloadedResult } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("a request whose time ends before its response has begun, so that its caller would get nothing", () => {
    const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    const routeMilliseconds = 20_000;
    const read = { path: "/reads/1", target: "/reads/1" };
    const release = { path: "/releases/1", target: "/releases/1" };
    const label = createTestRequest.createPrompt("/labels/1");
    const unknown = { kind: "unknown", reason: RefusalReason.DEADLINE };

    type Respond = (clock: ManualClock, signal: AbortSignal) => AttemptResult | Promise<AttemptResult>;

    function createTrial(respond: Respond, changes: Parameters<typeof createTestForwarder>[3] = {}) {
        const clock = createManualClock();
        const state = createEmptyTestFeedState(clock);
        const routes = createTestDocument().routes.map(route => ({ ...route, timeoutMilliseconds: routeMilliseconds }));
        const instances = [
            createTestInstance({ instanceId: "actions-1", service: "actions", weights: [] }),
            createTestInstance({ instanceId: "actions-2", service: "actions", weights: [] }),
            createTestInstance({ instanceId: "engine-1" }),
        ];
        updateTestFeedState(state, clock, instances, { routes });
        const link = createTestLink(({ signal }) => respond(clock, signal));
        const forwarder = createTestForwarder(state, link, clock, changes);
        return { clock, link, forward };

        async function forward(request: Partial<ForwardedRequest>) {
            const reply = createTestReply();
            const ended = forwarder.forward(createTestRequest(request), reply);
            await clock.advance(0);
            return { reply, ended };
        }
    }

    async function respondNever(clock: ManualClock, signal: AbortSignal): Promise<AttemptResult> {
        await clock.sleep(Infinity, signal);
        return lostResult;
    }

    /** Sends a request that gets no response, and finds when it is answered. */
    async function doTest(request: Partial<ForwardedRequest>, expectedMilliseconds: number) {
        const trial = createTrial(respondNever);
        const { reply, ended } = await trial.forward(request);
        await trial.clock.advance(expectedMilliseconds - 1);
        expect(reply.getRefusal()).to.equal(undefined);
        await trial.clock.advance(1);
        await ended;
        expect(reply.getRefusal()).to.deep.equal(unknown);
    }

    it("is answered before, where the time is short", () => doTest({ ...release, callerMilliseconds: 600 }, 576));
    it("is answered before, where the time is long", () => doTest({ ...read, callerMilliseconds: 15_000 }, 14_900));
    it("is answered before, where the response would be a stream", () =>
        doTest({ ...label, callerMilliseconds: 3_000 }, 2_900));
    it("is answered at its route's time limit where the caller waits for longer", () =>
        doTest({ ...read, callerMilliseconds: routeMilliseconds + 200 }, routeMilliseconds));

    it("gets the response that arrives until then", async () => {
        const trial = createTrial(async clock => {
            await clock.sleep(575);
            return createTestResponse(["read"]);
        });
        const { reply, ended } = await trial.forward({ ...read, callerMilliseconds: 600 });
        await trial.clock.advance(600);
        await ended;
        expect([reply.getText(), reply.getRefusal()]).to.deep.equal(["200 read whole", undefined]);
    });

    it("is not sent again shortly before, where the attempt would be ended at once", async () => {
        const trial = createTrial(async clock => {
            await clock.sleep(560);
            return overloadedResult;
        });
        const { reply, ended } = await trial.forward({ ...read, callerMilliseconds: 600 });
        await trial.clock.advance(600);
        await ended;
        expect([trial.link.attempts.length, reply.getRefusal()?.kind]).to.deep.equal([1, "notRun"]);
    });

    it("keeps a stream that has begun until its deadline", async () => {
        const trial = createTrial((clock, signal) => ({
            ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
            body: (async function*() {
                yield Buffer.from(events[0]!);
                await clock.sleep(590, signal);
                yield Buffer.from(events[1]!);
                await clock.sleep(Infinity, signal);
            })(),
            isComplete: () => false,
        }));
        const { reply, ended } = await trial.forward({ ...label, callerMilliseconds: 600 });
        await trial.clock.advance(599);
        expect([reply.getText(), trial.link.attempts[0]!.signal.aborted]).to.deep.equal([
            `200 ${events.join("")}`,
            false,
        ]);
        await trial.clock.advance(1);
        await ended;
        expect(reply.getText()).to.equal(`200 ${events.join("")}broken off`);
    });

    it("is refused as not run while the origin of its stream is still searched for", async () => {
        const streamOrigins = {
            ...createTestStreamOrigins(),
            find: () => new Promise<undefined>(() => undefined),
        };
        const trial = createTrial(respondNever, { streamOrigins });
        const { reply, ended } = await trial.forward({
            ...label,
            callerMilliseconds: 200,
            lastEventId: "1",
            resumedRequestId: "request-0",
        });
        await trial.clock.advance(192);
        await ended;
        expect([reply.getRefusal()?.kind, trial.link.attempts.length]).to.deep.equal(["notRun", 0]);
    });

    it("is answered while the record of its stream's origin is still waited for", async () => {
        const streamOrigins = {
            ...createTestStreamOrigins(),
            record: () => new Promise<boolean>(() => undefined),
        };
        const trial = createTrial((clock, signal) => ({
            ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
            body: (async function*() {
                await clock.sleep(Infinity, signal);
                yield Buffer.from("");
            })(),
            isComplete: () => false,
        }), { streamOrigins });
        const { reply, ended } = await trial.forward({ ...label, callerMilliseconds: 600 });
        await trial.clock.advance(576);
        await ended;
        expect(reply.getRefusal()?.kind).to.equal("unknown");
    });
});
