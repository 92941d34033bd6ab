import { expect } from "chai";
import { AttemptResult, BackendAttempt, ForwardedRequest } from "../../src/forwarding";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse, overloadedResult } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("a request at a sound backend server that is silent for a while", () => {
    const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    const wholeStream = `200 ${events.join("")}end`;
    const misdirectedResult: AttemptResult = { ...overloadedResult, isMisdirected: true, status: 421 } as AttemptResult;
    const routes = createTestDocument().routes.map(route => ({ ...route, timeoutMilliseconds: 15_000 }));
    const instances = [
        ...["engine-1", "engine-2", "engine-3"].map(instanceId => createTestInstance({ instanceId })),
        ...["actions-1", "actions-2"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        ),
    ];
    const label = createTestRequest.createPrompt("/labels/1");
    const summary = createTestRequest.createPrompt("/summaries/1");
    const read = { path: "/reads/1", target: "/reads/1" };
    const release = { path: "/releases/1", target: "/releases/1" };

    interface TrialOptions {
        /** What the caller asks for. */
        request: Partial<ForwardedRequest>;
        /** The parts of the response of the first server. */
        parts: readonly string[];
        /** The number of parts that it sends before it is silent. */
        partsBeforeSilence: number;
        /** How long it is silent, its probes too. */
        silentMilliseconds: number;
        /** What the other servers do. */
        respond(attempt: BackendAttempt, clock: ReturnType<typeof createManualClock>): ReturnType<BackendRespond>;
    }

    type BackendRespond = () => AttemptResult | Promise<AttemptResult>;

    /** Forwards a request, and returns what the caller and the servers saw. */
    async function play({ request, parts, partsBeforeSilence, silentMilliseconds, respond }: TrialOptions) {
        const clock = createManualClock();
        const state = createEmptyTestFeedState(clock);
        updateTestFeedState(state, clock, instances, { routes });
        let firstInstanceId: string | undefined;
        const link = createTestLink(
            (attempt, number) => {
                if (number > 0) {
                    return respond(attempt, clock);
                }
                firstInstanceId = attempt.instance.instanceId;
                return startSilentResponse(attempt);
            },
            instanceId => instanceId !== firstInstanceId || clock.getMonotonicMilliseconds() >= silentMilliseconds,
        );
        const reply = createTestReply();
        const forwarder = createTestForwarder(state, link, clock);
        const ended = forwarder.forward(createTestRequest({ callerMilliseconds: 15_000, ...request }), reply);
        await clock.advance(16_000);
        await ended;
        return { text: reply.getText(), refusal: reply.getRefusal(), attempts: link.attempts };

        /** Sends the first parts, is silent, and sends the others unless the attempt has ended by then. */
        async function startSilentResponse(attempt: BackendAttempt): Promise<AttemptResult> {
            const getEnded = () => attempt.signal.aborted || attempt.unresponsiveSignal?.aborted === true;
            const wait = () => clock.sleep(silentMilliseconds, attempt.unresponsiveSignal ?? attempt.signal);
            if (partsBeforeSilence === 0) {
                await wait();
            }
            if (getEnded()) {
                return { kind: "lost", reason: "the request has ended" };
            }
            return {
                ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
                body: (async function*() {
                    for (const [index, part] of parts.entries()) {
                        if (index > 0 && index === partsBeforeSilence) {
                            await wait();
                        }
                        if (getEnded()) {
                            return;
                        }
                        attempt.onActivity();
                        yield Buffer.from(part);
                    }
                })(),
                isComplete: () => !getEnded(),
            };
        }
    }

    const silences = [900, 1_000, 1_400, 2_000, 2_800];
    const refusingServers: Record<string, TrialOptions["respond"]> = {
        "expects another instance": () => misdirectedResult,
        "is at its limit": () => overloadedResult,
        "fails": () => createTestResponse(["failed"], true, 500),
        "breaks off": () => createTestResponse([], false),
        "is silent itself": ({ signal }, clock) =>
            clock.sleep(60_000, signal).then(() => ({ kind: "lost", reason: "the request has ended" })),
    };

    for (const [name, respond] of Object.entries(refusingServers)) {
        describe(`while the server that could take over ${name}`, () => {
            async function doTest(options: Omit<TrialOptions, "silentMilliseconds" | "respond">, expected: string) {
                for (const silentMilliseconds of silences) {
                    const { text } = await play({ ...options, silentMilliseconds, respond });
                    expect(text, `${silentMilliseconds} ms`).to.equal(expected);
                }
            }

            it("is not cut off in the middle of its stream", () =>
                doTest({ request: label, parts: events, partsBeforeSilence: 1 }, wholeStream));
            it("gets its stream where the silence was before the first event", () =>
                doTest({ request: label, parts: events, partsBeforeSilence: 0 }, wholeStream));
            it("gets its response where it may be repeated", () =>
                doTest({ request: read, parts: ["read"], partsBeforeSilence: 0 }, "200 read whole"));
            it("is not cut off in the middle of a stream that must not run again", () =>
                doTest({ request: summary, parts: events, partsBeforeSilence: 1 }, wholeStream));
            it("gets its response where it must not run twice", () =>
                doTest({ request: release, parts: ["done"], partsBeforeSilence: 0 }, "200 done whole"));
        });
    }
});
