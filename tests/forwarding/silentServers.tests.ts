import { expect } from "chai";
import * as fc from "fast-check";
import { AttemptResult } from "../../src/forwarding";
import { createTestInstance } from "../feed/createTestFeed";
import { createTestResponse, overloadedResult } from "./createTestLink";
import { createTestRequest } from "./createTestRequest";
import { playSilentServer, SilentServerOptions } from "./playSilentServer";

describe("a request at a sound backend server that is silent for a while", () => {
    const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    const wholeStream = `200 ${events.join("")}end`;
    const misdirectedResult: AttemptResult = { ...overloadedResult, isMisdirected: true, status: 421 } as AttemptResult;
    const label = createTestRequest.createPrompt("/labels/1");
    const summary = createTestRequest.createPrompt("/summaries/1");
    const read = { path: "/reads/1", target: "/reads/1" };
    const release = { path: "/releases/1", target: "/releases/1" };

    type Respond = SilentServerOptions["respond"];

    const silences = [900, 1_000, 1_400, 2_000, 2_800, 3_400];
    const refusingServers: Record<string, Respond> = {
        "expects another instance": () => misdirectedResult,
        "is at its limit": () => overloadedResult,
        "fails": () => createTestResponse(["failed"], true, 500),
        "breaks off": () => createTestResponse([], false),
        "is silent itself": respondNever,
    };

    for (const [name, respond] of Object.entries(refusingServers)) {
        describe(`while the server that could take over ${name}`, () => {
            async function doTest(
                options: Pick<SilentServerOptions, "request" | "parts" | "partsBeforeSilence">,
                expected: string,
            ) {
                for (const silentMilliseconds of silences) {
                    const { text } = await playSilentServer({ ...options, silentMilliseconds, respond });
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

    describe("is hedged", () => {
        const silentStream = { request: label, parts: events, partsBeforeSilence: 1 };

        it("by a second run that goes on once it delivers first, and only then ends the silent one", async () => {
            const wasEnded: (boolean | undefined)[] = [];
            const { text, attempts } = await playSilentServer({
                ...silentStream,
                silentMilliseconds: 10_000,
                respond: async (attempt, clock) => {
                    await clock.sleep(300);
                    wasEnded.push(attempt.signal.aborted);
                    return createTestResponse(events.slice(1));
                },
            });
            expect([text, wasEnded]).to.deep.equal([wholeStream, [false]]);
            expect(attempts.map(({ signal }) => signal.aborted)).to.deep.equal([true, false]);
        });
        it("by a second run that is ended once the silent server delivers first", async () => {
            const { text, attempts } = await playSilentServer({
                ...silentStream,
                silentMilliseconds: 2_600,
                respond: respondNever,
            });
            expect(text).to.equal(wholeStream);
            expect(attempts.map(({ signal }) => signal.aborted)).to.deep.equal([false, true]);
        });
        it("from the last event that the caller has", async () => {
            const { attempts } = await playSilentServer({
                ...silentStream,
                silentMilliseconds: 2_600,
                respond: respondNever,
            });
            expect(attempts.map(({ lastEventId }) => lastEventId)).to.deep.equal([undefined, "1"]);
        });
        it("not in the middle of its stream while its server may only pause, so that the two don't go on at once", async () => {
            for (const silentMilliseconds of [900, 1_400, 1_900]) {
                const { text, attempts } = await playSilentServer({
                    ...silentStream,
                    silentMilliseconds,
                    respond: () => createTestResponse(events.slice(1)),
                });
                expect([text, attempts.length], `${silentMilliseconds} ms`).to.deep.equal([wholeStream, 1]);
            }
        });
        it("once at a time, and not again after its maximum number of attempts", async () => {
            const { attempts } = await playSilentServer({
                ...silentStream,
                silentMilliseconds: 10_000,
                respond: () => ({ kind: "lost", reason: "the connection was closed" }),
            });
            expect(attempts.length).to.equal(2);
        });
        it("again where the server that could take over was at its limit", async () => {
            let count = 0;
            const { text, attempts } = await playSilentServer({
                ...silentStream,
                engines: ["1", "2", "3", "4"].map(id => createTestInstance({ instanceId: `engine-${id}` })),
                silentMilliseconds: 10_000,
                respond: () => count++ === 0 ? overloadedResult : createTestResponse(events.slice(1)),
            });
            expect([text, attempts.length]).to.deep.equal([wholeStream, 3]);
        });
        it("only at the software version of the silent server, also before the first event", async () => {
            const { text, attempts } = await playSilentServer({
                ...silentStream,
                partsBeforeSilence: 0,
                engines: ["v1", "v2", "v3"].map(softwareVersion =>
                    createTestInstance({ instanceId: `engine-${softwareVersion}`, softwareVersion })
                ),
                silentMilliseconds: 2_000,
                respond: () => createTestResponse(events),
            });
            expect([text, attempts.length]).to.deep.equal([wholeStream, 1]);
        });
        it("not at all without a retry in the shared budget", async () => {
            const { text, attempts } = await playSilentServer({
                ...silentStream,
                silentMilliseconds: 2_600,
                respond: () => createTestResponse(events.slice(1)),
                changes: { retryShare: 0, retryReserve: 0 },
            });
            expect([text, attempts.length]).to.deep.equal([wholeStream, 1]);
        });
        it("while its caller waits: both runs end once that has left", async () => {
            const { text, attempts } = await playSilentServer({
                ...silentStream,
                silentMilliseconds: 10_000,
                leavesAfterMilliseconds: 2_600,
                respond: respondNever,
            });
            expect(text).to.equal(`200 ${events[0]}`);
            expect(attempts.map(({ signal }) => signal.aborted)).to.deep.equal([true, true]);
        });
        it("so that its stream is whole, in order and without repetition, whatever the servers do meanwhile", () =>
            fc.assert(
                fc.asyncProperty(
                    fc.integer({ min: 100, max: 4_000 }),
                    fc.integer({ min: 0, max: 3 }),
                    fc.integer({ min: 0, max: 2_000 }),
                    fc.constantFrom(...Object.values(refusingServers), respondFromLastEvent),
                    async (silentMilliseconds, partsBeforeSilence, delayMilliseconds, respond) => {
                        const { text } = await playSilentServer({
                            request: label,
                            parts: fourEvents,
                            partsBeforeSilence,
                            silentMilliseconds,
                            respond: async (attempt, clock) => {
                                await clock.sleep(delayMilliseconds, attempt.signal);
                                return respond(attempt, clock);
                            },
                        });
                        expect(text).to.equal(`200 ${fourEvents.join("")}end`);
                    },
                ),
                { seed: 46, numRuns: 60 },
            ));
    });

    const fourEvents = [1, 2, 3, 4].map(id => `id: ${id}\ndata: ${id}\n\n`);

    function respondFromLastEvent({ lastEventId }: Parameters<Respond>[0]): AttemptResult {
        return createTestResponse(fourEvents.slice(Number(lastEventId ?? 0)));
    }

    async function respondNever(...[{ signal }, clock]: Parameters<Respond>): Promise<AttemptResult> {
        await clock.sleep(60_000, signal);
        return { kind: "lost", reason: "the request has ended" };
    }
});
