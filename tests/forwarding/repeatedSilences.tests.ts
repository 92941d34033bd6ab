import { expect } from "chai";
import { AttemptResult, BackendAttempt, ForwardedRequest, ForwarderOptions } from "../../src/forwarding";
import { createMetrics, RetryReason } from "../../src/metrics";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createManualClock, ManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse, lostResult, overloadedResult } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("requests at servers that are silent repeatedly or for good", () => {
    const routes = createTestDocument().routes.map(route => ({
        ...route,
        timeoutMilliseconds: 15_000,
        maximumAttempts: 4,
    }));
    const events = [1, 2, 3, 4].map(id => `id: ${id}\ndata: ${id}\n\n`);
    const label = createTestRequest.createPrompt("/labels/1");

    interface Options {
        engineCount: number;
        /** Returns whether probes of a backend server are answered. */
        answersProbe(instanceId: string, milliseconds: number): boolean;
        respond(attempt: BackendAttempt, number: number, clock: ManualClock): AttemptResult | Promise<AttemptResult>;
        changes?: Partial<ForwarderOptions>;
    }

    function createFixture({ engineCount, answersProbe, respond, changes }: Options) {
        const clock = createManualClock();
        const state = createEmptyTestFeedState(clock);
        const engines = ["1", "2", "3", "4", "5", "6"].slice(0, engineCount).map(id =>
            createTestInstance({ instanceId: `engine-${id}` })
        );
        const plainServers = ["actions-1", "actions-2"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        );
        updateTestFeedState(state, clock, [...engines, ...plainServers], { routes });
        const link = createTestLink(
            (attempt, number) => respond(attempt, number, clock),
            instanceId => answersProbe(instanceId, clock.getMonotonicMilliseconds()),
        );
        const forwarder = createTestForwarder(state, link, clock, {
            maximumDocumentAgeMilliseconds: Infinity,
            ...changes,
        });
        return { clock, link, forward };

        function forward(changedFields: Partial<ForwardedRequest> = {}) {
            const reply = createTestReply();
            const ended = forwarder.forward(
                createTestRequest({
                    callerMilliseconds: 15_000,
                    ...label,
                    arrivalMilliseconds: clock.getMonotonicMilliseconds(),
                    ...changedFields,
                }),
                reply,
            );
            return { reply, ended };
        }
    }

    /** Creates a response that sends its events at the given times, and nothing after them until its end. */
    function sendAt(times: readonly number[], attempt: BackendAttempt, clock: ManualClock): AttemptResult {
        return {
            ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
            body: (async function*() {
                for (const [index, time] of times.entries()) {
                    await clock.sleep(time - clock.getMonotonicMilliseconds(), attempt.signal);
                    if (attempt.signal.aborted) {
                        return;
                    }
                    attempt.onActivity();
                    yield Buffer.from(events[index]!);
                }
                await clock.sleep(60_000, attempt.signal);
            })(),
            hold: () => undefined,
            isComplete: () => false,
        };
    }

    it("hedges a stream whose server is silent again after it had gone on", async () => {
        let silentId: string | undefined;
        const { clock, link, forward } = createFixture({
            engineCount: 4,
            answersProbe: (instanceId, now) => instanceId !== silentId || now >= 1_200 && now < 3_000,
            respond: (attempt, number, manualClock) => {
                silentId ??= attempt.instance.instanceId;
                return number === 0
                    ? sendAt([0, 1_200, 1_700], attempt, manualClock)
                    : createTestResponse(events.slice(Number(attempt.lastEventId)));
            },
        });
        const { reply } = forward();
        await clock.advance(14_000);
        expect(reply.getText()).to.equal(`200 ${events.join("")}end`);
        expect(link.attempts.map(({ lastEventId }) => lastEventId)).to.deep.equal([undefined, "3"]);
    });

    it("hedges a request that was sent while its server was silent already", async () => {
        const { clock, link, forward } = createFixture({
            engineCount: 0,
            answersProbe: (instanceId, now) => now >= 1_600 && instanceId !== link.attempts[2]?.instance.instanceId,
            respond: async (attempt, number, manualClock) => {
                if (number > 2) {
                    return createTestResponse(["read"]);
                }
                await manualClock.sleep(60_000, attempt.signal);
                return lostResult;
            },
        });
        const read = { path: "/reads/1", target: "/reads/1", prompt: undefined };
        forward({ ...read, requestId: "request-1" });
        forward({ ...read, requestId: "request-2" });
        await clock.advance(1_000);
        const { reply } = forward({ ...read, requestId: "request-3" });
        await clock.advance(4_000);
        expect(link.attempts[2]?.request.requestId).to.equal("request-3");
        expect(reply.getText()).to.equal("200 read whole");
    });

    it("takes no retries from the budget for a request that has no attempt left", async () => {
        let silentId: string | undefined;
        const metrics = createMetrics();
        const counts: string[] = [];
        const { clock, link, forward } = createFixture({
            engineCount: 6,
            answersProbe: instanceId => instanceId !== silentId,
            respond: (attempt, number, manualClock) => {
                silentId ??= attempt.instance.instanceId;
                return number === 0 ? sendAt([0], attempt, manualClock) : overloadedResult;
            },
            changes: { metrics: { ...metrics, countRetry: reason => counts.push(reason) } },
        });
        forward();
        await clock.advance(14_000);
        const hedges = counts.filter(reason => reason === RetryReason.SilentServer).length;
        expect([link.attempts.length, hedges]).to.deep.equal([4, 1]);
    });

    describe("take a server for one that may have crashed where the request ends in its silence", () => {
        async function doTest(request: Partial<ForwardedRequest>, isSilent: boolean, expected: readonly string[]) {
            const ends: string[] = [];
            const { clock, forward } = createFixture({
                engineCount: 1,
                answersProbe: () => !isSilent,
                respond: async (attempt, ...[, manualClock]) => {
                    await manualClock.sleep(60_000, attempt.signal);
                    return lostResult;
                },
                changes: {
                    crashQuarantine: {
                        isQuarantined: () => false,
                        isSuspected: () => false,
                        getReport: () => ({ incarnation: "1", observations: [], completions: new Map() }),
                        beginRun: () => ({
                            recordBegin: () => undefined,
                            complete: () => ends.push("complete"),
                            lose: () => ends.push("lose"),
                            end: () => ends.push("end"),
                        }),
                    },
                },
            });
            const { ended } = forward(request);
            await clock.advance(16_000);
            await ended;
            expect(ends).to.deep.equal(expected);
        }

        const summary = createTestRequest.createPrompt("/summaries/1");

        it("at its deadline", () => doTest(summary, true, ["lose"]));
        it("but not where it responds to probes", () => doTest(summary, false, ["end"]));
    });
});
