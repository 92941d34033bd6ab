import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import * as fc from "fast-check";
import { InstanceState } from "../../src/crashQuarantine";
import { RoutingDocument } from "../../src/documents";
import {
    AttemptResult,
    BackendAttempt,
    createForwarder,
    createPlannedStop,
    createPromptDescriptor,
    ForwardedRequest,
    ResponseEnd,
    ResponseFraming,
} from "../../src/forwarding";
import { createLogger, createSilentLogger, Logger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { FleetInstance, RefusalReason, StreamOrigin, StreamOriginSchema } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { StreamOrigins } from "../../src/streamOrigins";
import { createTestCrashQuarantine } from "../crashQuarantine/createTestCrashQuarantine";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFactStore } from "../facts/createTestFacts";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createTestServerLimits } from "../serverLimits/createTestServerLimits";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock } from "../support/createManualClock";
import { unlimitedQuotas } from "../workspaceQuotas/unlimitedQuotas";
import { createTestLink, createTestResponse, lostResult, overloadedResult } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createForwarder", () => {
    const services = ["actions-1", "actions-2", "actions-3"].map(instanceId =>
        createTestInstance({ instanceId, service: "actions", weights: [] })
    );
    const engines = ["engine-1", "engine-2", "engine-3"].map(instanceId => createTestInstance({ instanceId }));

    interface TrialOptions {
        respond: (attempt: BackendAttempt, number: number) => AttemptResult | Promise<AttemptResult>;
        probe?: (instanceId: string) => boolean | "never" | InstanceState;
        instances?: readonly FleetInstance[];
        document?: Partial<RoutingDocument>;
        retryReserve?: number;
        isStarting?: boolean;
        getLimitWait?: (instanceId: string) => number;
        logger?: Logger;
        streamOrigins?: StreamOrigins;
        pollConnections?: () => Promise<void>;
        /** What the leader confirms as the fleet; by default that which is known already. */
        confirmedInstances?: readonly FleetInstance[] | "none";
    }

    function createTrial(options: TrialOptions) {
        const clock = createManualClock();
        const link = createTestLink(options.respond, options.probe);
        const instances = options.instances ?? [...services, ...engines];
        const state = createEmptyTestFeedState(clock);
        const receiveState = () => updateTestFeedState(state, clock, instances, options.document);
        const { confirmedInstances = instances } = options;
        if (confirmedInstances !== "none") {
            state.addConfirmationListener(() =>
                updateTestFeedState(state, clock, confirmedInstances, options.document)
            );
        }
        if (!options.isStarting) {
            receiveState();
        }
        const forwarder = createForwarder({
            plannedStop: createPlannedStop(clock),
            pollConnections: options.pollConnections ?? (() => Promise.resolve()),
            facts: createTestFactStore(clock),
            state,
            link,
            streamOrigins: options.streamOrigins ?? createTestStreamOrigins(),
            crashQuarantine: createTestCrashQuarantine({ state, link, clock }),
            serverLimits: {
                ...createTestServerLimits(state, clock),
                ...options.getLimitWait ? { getWaitMilliseconds: options.getLimitWait } : {},
            },
            workspaceQuotas: unlimitedQuotas,
            kvCacheStores: { isReachable: () => false, hasPart: () => false },
            dataCentre: "west",
            signal: new AbortController().signal,
            maximumDocumentAgeMilliseconds: 3_500,
            supersededWeightsGraceMilliseconds: 10_000,
            retryShare: 0.2,
            retryReserve: options.retryReserve ?? 50,
            retryWindowMilliseconds: 0,
            clock,
            random: createRandomSource(1),
            logger: options.logger ?? createSilentLogger(),
            metrics: createMetrics(),
        });
        return { clock, link, state, forward, receiveState };

        async function forward(changes: Partial<ForwardedRequest>) {
            const reply = createTestReply();
            const ended = forwarder.forward(createTestRequest(changes), reply);
            await clock.advance(0);
            return { reply, ended };
        }
    }

    /** Forwards one request; returns the response or the refusal's kind, and the number of attempts. */
    async function getResult(options: TrialOptions, changes: Partial<ForwardedRequest>) {
        const trial = createTrial(options);
        const { reply, ended } = await trial.forward(changes);
        await ended;
        return { text: reply.getText(), refusal: reply.getRefusal()?.kind, sent: trial.link.attempts.length };
    }

    describe("a caller whose leaving is read in the poll after a wait", () => {
        const waitMilliseconds = 100;

        function createWaitTrial(options: Pick<TrialOptions, "isStarting">) {
            const caller = new AbortController();
            const trial = createTrial({
                ...options,
                respond: async () => {
                    await trial.clock.sleep(waitMilliseconds);
                    return overloadedResult;
                },
                pollConnections: async () => {
                    caller.abort();
                    await Promise.resolve();
                },
            });
            return { trial, caller };
        }

        it("has no request sent after the wait for the first state", async () => {
            const { trial, caller } = createWaitTrial({ isStarting: true });
            const { reply, ended } = await trial.forward({ ...read, signal: caller.signal });
            await trial.clock.advance(waitMilliseconds);
            trial.receiveState();
            await ended;
            expect([trial.link.attempts.length, reply.getRefusal()]).to.deep.equal([0, undefined]);
        });

        it("has no request sent again after an attempt", async () => {
            const { trial, caller } = createWaitTrial({});
            const { reply, ended } = await trial.forward({ ...read, signal: caller.signal });
            await trial.clock.advance(waitMilliseconds);
            await ended;
            expect([trial.link.attempts.length, reply.getRefusal()]).to.deep.equal([1, undefined]);
        });
    });

    const read = { path: "/reads/1", target: "/reads/1" };
    const release = { path: "/releases/1", target: "/releases/1" };
    const label = createTestRequest.createPrompt("/labels/1");
    const summary = createTestRequest.createPrompt("/summaries/1");

    it("does not avoid a backend server to which a request was not sent since its caller left", async () => {
        const caller = new AbortController();
        const trial = createTrial({
            respond: (...[, number]) => {
                if (number > 0) {
                    return createTestResponse(["done"]);
                }
                caller.abort();
                return { kind: "notSent", reason: "the request has ended" };
            },
        });
        await (await trial.forward({ ...read, signal: caller.signal })).ended;
        for (let count = 0; count < 30; count++) {
            await (await trial.forward(read)).ended;
        }
        const [abandoned, ...others] = trial.link.attempts.map(({ instance }) => instance.instanceId);
        expect(others).to.include(abandoned);
    });

    describe("a request that must not run more than once", () => {
        it("is answered", async () => {
            expect(await getResult({ respond: () => createTestResponse(["done"]) }, release))
                .to.deep.equal({ text: "200 done whole", refusal: undefined, sent: 1 });
        });
        it("is sent to another backend server where it certainly did not run", async () => {
            const respond = (...[, number]: [BackendAttempt, number]) =>
                number === 0 ? overloadedResult : createTestResponse(["done"]);
            expect(await getResult({ respond }, release))
                .to.deep.equal({ text: "200 done whole", refusal: undefined, sent: 2 });
        });
        it("is not sent again once it may have run, and is not reported as not run", async () => {
            expect(await getResult({ respond: () => lostResult }, release))
                .to.deep.equal({ text: "", refusal: "unknown", sent: 1 });
        });
        it("is not sent again where its response is incomplete", async () => {
            expect(await getResult({ respond: () => createTestResponse(["do"], false) }, release))
                .to.deep.equal({ text: "", refusal: "unknown", sent: 1 });
        });
        it("is not sent again where the backend server failed", async () => {
            expect(await getResult({ respond: () => createTestResponse(["failed"], true, 500) }, release))
                .to.deep.equal({ text: "500 failed whole", refusal: undefined, sent: 1 });
        });
        it("is refused as not run with a retry delay where no backend server has capacity", async () => {
            const trial = createTrial({ respond: () => overloadedResult });
            const { reply, ended } = await trial.forward(release);
            await ended;
            const refusal = reply.getRefusal();
            expect(refusal?.kind === "notRun" && refusal.retryAfterMilliseconds).to.equal(1_000);
        });

        it("never runs twice, and is never reported as not run once it may have run, whatever happens", async () => {
            const outcome = fc.constantFrom("full", "lost", "notSent", "broken", "failed", "done");
            const results: Record<string, () => AttemptResult> = {
                full: () => overloadedResult,
                lost: () => lostResult,
                notSent: () => ({ kind: "notSent", reason: "refused" }),
                broken: () => createTestResponse(["do"], false),
                failed: () => createTestResponse(["failed"], true, 500),
                done: () => createTestResponse(["done"]),
            };
            await fc.assert(
                fc.asyncProperty(fc.array(outcome, { minLength: 4, maxLength: 4 }), async outcomes => {
                    const sent: string[] = [];
                    const result = await getResult({
                        respond: (...[, number]) => {
                            sent.push(outcomes[number]!);
                            return results[outcomes[number]!]!();
                        },
                    }, release);
                    const runs = sent.filter(kind => kind !== "full" && kind !== "notSent");
                    expect(runs.length).to.be.at.most(1);
                    expect(result.refusal === "notRun").to.equal(runs.length === 0);
                }),
                { seed: 3, numRuns: 200 },
            );
        });
    });

    describe("a request that may be repeated", () => {
        it("is sent to another backend server once its response is lost", async () => {
            const respond = (...[, number]: [BackendAttempt, number]) =>
                number === 0 ? lostResult : createTestResponse(["read"]);
            expect(await getResult({ respond }, read))
                .to.deep.equal({ text: "200 read whole", refusal: undefined, sent: 2 });
        });
        it("is sent no more often than the route's maximum number of attempts", async () => {
            expect((await getResult({ respond: () => lostResult }, read)).sent).to.equal(2);
        });
        it("is not sent again without a retry in the shared budget", async () => {
            expect((await getResult({ respond: () => lostResult, retryReserve: 0 }, read)).sent).to.equal(1);
        });
        it("is sent to a different backend server each time", async () => {
            const trial = createTrial({ respond: () => lostResult });
            await (await trial.forward(read)).ended;
            expect(new Set(trial.link.attempts.map(attempt => attempt.instance.instanceId)).size).to.equal(2);
        });
    });

    describe("a stream", () => {
        const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

        it("is forwarded whole", async () => {
            expect((await getResult({ respond: () => createTestResponse([events.join("")]) }, summary)).text)
                .to.equal(`200 ${events.join("")}end`);
        });
        it("is cut only between events", async () => {
            const text = events.join("");
            const respond = () => createTestResponse([text.slice(0, 20), text.slice(20, 33)], false);
            expect((await getResult({ respond }, summary)).text).to.equal(
                `200 ${events.slice(0, 2).join("")}broken off`,
            );
        });
        it("is resumed at another engine after the last whole event where the route allows it", async () => {
            const respond = (attempt: BackendAttempt, number: number) => {
                if (number === 0) {
                    return createTestResponse([events[0]!, "id: 2\ndata:"], false);
                }
                expect(attempt.lastEventId).to.equal("1");
                return createTestResponse(events.slice(1));
            };
            expect((await getResult({ respond }, label)).text).to.equal(`200 ${events.join("")}end`);
        });
        it("contains no event twice where the next engine starts from the beginning", async () => {
            const respond = (...[, number]: [BackendAttempt, number]) =>
                number === 0 ? createTestResponse(events.slice(0, 2), false) : createTestResponse(events);
            expect((await getResult({ respond }, label)).text).to.equal(`200 ${events.join("")}end`);
        });
        it("is aborted where no engine resumes it", async () => {
            const respond = (...[, number]: [BackendAttempt, number]) =>
                number === 0 ? createTestResponse(events.slice(0, 1), false) : overloadedResult;
            expect((await getResult({ respond }, label)).text).to.equal(`200 ${events[0]}broken off`);
        });
        describe("that has begun does not contain what the next engine sends instead of the remaining events", () => {
            async function doTest(next: AttemptResult): Promise<void> {
                const respond = (...[, number]: [BackendAttempt, number]) =>
                    number === 0 ? createTestResponse(events.slice(0, 1), false) : next;
                expect((await getResult({ respond }, label)).text).to.equal(`200 ${events[0]}broken off`);
            }

            /** Gives a response the type of its body. */
            function setType(response: AttemptResult, type: string): AttemptResult {
                return response.kind === "answered"
                    ? { ...response, head: { ...response.head, headers: ["Content-Type", type] } }
                    : response;
            }

            it("with a status of failure", () => doTest(createTestResponse(["error\n\n"], true, 500)));
            it("with a status of a request that was wrong", () => doTest(createTestResponse(["error\n\n"], true, 404)));
            it("with success and another type", () =>
                doTest(setType(createTestResponse(["error\n\n"]), "application/json")));
            it("with success and another type, whole", () =>
                doTest(setType(createTestResponse([events.slice(1).join("")]), "text/html")));
            it("with success and an event without an id", () =>
                doTest(createTestResponse(["event: error\ndata: no memory\n\n"])));
            it("with a connection that ends at once", () =>
                doTest(createTestResponse([], true, 200, ResponseFraming.ConnectionEnd)));
        });
        it("that ends inside an event with its connection does not reach the caller as complete", async () => {
            const respond = () =>
                createTestResponse([events[0]!, "id: 2\ndata:"], true, 200, ResponseFraming.ConnectionEnd);
            expect((await getResult({ respond }, summary)).text).to.equal(`200 ${events[0]}broken off`);
        });
        it("that ends inside an event with its connection is resumed where the route allows it", async () => {
            const respond = (attempt: BackendAttempt, number: number) => {
                if (number === 0) {
                    return createTestResponse([events[0]!, "id: 2\nda"], true, 200, ResponseFraming.ConnectionEnd);
                }
                expect(attempt.lastEventId).to.equal("1");
                return createTestResponse(events.slice(1));
            };
            expect((await getResult({ respond }, label)).text).to.equal(`200 ${events.join("")}end`);
        });
        it("that ends with its connection before its first event does not reach the caller as complete", async () => {
            const respond = () => createTestResponse([], true, 200, ResponseFraming.ConnectionEnd);
            expect((await getResult({ respond }, summary)).refusal).to.equal("unknown");
        });
        it("keeps the head of the first engine's response", async () => {
            const respond = (...[, number]: [BackendAttempt, number]) =>
                number === 0
                    ? createTestResponse(events.slice(0, 1), false)
                    : createTestResponse(events.slice(1), true, 201);
            expect((await getResult({ respond }, label)).text).to.equal(`200 ${events.join("")}end`);
        });
    });

    describe("a stream while several software versions serve", () => {
        const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
        const olderEngine = createTestInstance({ instanceId: "engine-1", softwareVersion: "v1" });
        const newerEngine = createTestInstance({ instanceId: "engine-2", softwareVersion: "v2" });

        it("does not go on at another software version than the one that began it", async () => {
            const respond = () => createTestResponse(events.slice(0, 1), false);
            const result = await getResult({ respond, instances: [olderEngine, newerEngine] }, label);
            expect([result.text, result.sent]).to.deep.equal([`200 ${events[0]}broken off`, 1]);
        });
        it("is refused as not run to a caller that resumes it where the version that began it is not known", async () => {
            const respond = () => createTestResponse(events.slice(1));
            const resumption = { ...label, lastEventId: "1", resumedRequestId: "request-0" };
            const result = await getResult({ respond, instances: [olderEngine, newerEngine] }, resumption);
            expect([result.refusal, result.sent]).to.deep.equal(["notRun", 0]);
        });
        it("is taken over by an engine of the version that began it", async () => {
            const respond = (...[, number]: [BackendAttempt, number]) =>
                createTestResponse(number === 0 ? events.slice(0, 1) : events.slice(1), number > 0);
            const engines = ["v1", "v2"].flatMap(softwareVersion =>
                ["a", "b"].map(name =>
                    createTestInstance({ instanceId: `${name}-${softwareVersion}`, softwareVersion })
                )
            );
            const trial = createTrial({ respond, instances: engines });
            const { reply, ended } = await trial.forward(label);
            await ended;
            const [first, second] = trial.link.attempts.map(({ instance }) => instance);
            expect(reply.getText()).to.equal(`200 ${events.join("")}end`);
            expect(second?.softwareVersion).to.equal(first?.softwareVersion);
        });

        /** Resumes a stream that began at a version, and returns the refusal or the version that continues it. */
        async function resume(softwareVersion: string, service = "models", timeWithoutContact = 0) {
            const streamOrigins = createTestStreamOrigins();
            await streamOrigins.record(
                create(StreamOriginSchema, { requestId: "request-0", service, softwareVersion }),
                false,
            );
            const trial = createTrial({
                respond: () => createTestResponse(events.slice(1)),
                instances: [olderEngine, newerEngine],
                streamOrigins,
                confirmedInstances: "none",
            });
            await trial.clock.advance(timeWithoutContact);
            const { reply, ended } = await trial.forward({
                ...label,
                lastEventId: "1",
                resumedRequestId: "request-0",
                arrivalMilliseconds: timeWithoutContact,
            });
            await trial.clock.advance(500);
            await ended;
            return reply.getRefusal()?.kind ?? trial.link.attempts.map(attempt => attempt.instance.softwareVersion);
        }

        it("is continued for a caller at the older version", async () => {
            expect(await resume("v1")).to.deep.equal(["v1"]);
        });
        it("is continued for a caller at the newer version", async () => {
            expect(await resume("v2")).to.deep.equal(["v2"]);
        });
        // Report of another operator: its servers may have started again with another version meanwhile.
        it("is refused as not run by a process that has been without contact", async () => {
            expect(await resume("v1", "models", 1_100)).to.equal("notRun");
        });
        it("is refused as not run where no server of its version is left", async () => {
            expect(await resume("v0")).to.equal("notRun");
        });
        it("is refused as not run where its route no longer leads to its service", async () => {
            expect(await resume("v1", "actions")).to.equal("notRun");
        });

        describe("for a caller that doesn't name the request that began it", () => {
            async function doTest(instances: readonly FleetInstance[], expected: "notRun" | undefined) {
                const respond = () => createTestResponse(events.slice(1));
                const result = await getResult({ respond, instances }, { ...label, lastEventId: "1" });
                expect(result.refusal).to.equal(expected);
            }

            it("is continued while the service has a single version", () => doTest([olderEngine], undefined));

            /** Resumes a stream at a process that knows one version, and has been without contact. */
            async function resumeWithoutContact(confirmedInstances: readonly FleetInstance[] | "none") {
                const respond = () => createTestResponse(events.slice(1));
                const trial = createTrial({ respond, instances: [olderEngine], confirmedInstances });
                const { reply, ended } = await trial.forward({ ...label, lastEventId: "1" });
                await trial.clock.advance(500);
                await ended;
                return [reply.getRefusal()?.kind, trial.link.attempts.length];
            }

            // Report of another operator: a process without contact continued streams of a version that it did not know.
            it("is refused as not run where the leader knows another version", async () => {
                expect(await resumeWithoutContact([olderEngine, newerEngine])).to.deep.equal(["notRun", 0]);
            });
            it("is refused as not run where the leader can't be asked", async () => {
                expect(await resumeWithoutContact("none")).to.deep.equal(["notRun", 0]);
            });
            it("is refused as not run where the leader knows only another version", async () => {
                expect(await resumeWithoutContact([newerEngine])).to.deep.equal(["notRun", 0]);
            });
            it("is refused as not run while it has several", () => doTest([olderEngine, newerEngine], "notRun"));
            it("is refused as not run where the version is not known", () =>
                doTest([createTestInstance({ softwareVersion: "" })], "notRun"));
        });

        it("is recorded with its version before its first event is passed on", async () => {
            let confirm: (isRecorded: boolean) => void = () => undefined;
            const recorded: StreamOrigin[] = [];
            const trial = createTrial({
                respond: () => createTestResponse(events),
                instances: [newerEngine],
                streamOrigins: {
                    record: origin => {
                        recorded.push(origin);
                        return new Promise(resolve => confirm = resolve);
                    },
                    find: () => Promise.resolve(undefined),
                },
            });
            const { reply, ended } = await trial.forward(label);
            await trial.clock.advance(100);
            expect(reply.getText()).to.equal("");
            confirm(true);
            await ended;
            expect(reply.getText()).to.equal(`200 ${events.join("")}end`);
            expect(recorded.map(({ requestId, softwareVersion, service }) => [requestId, softwareVersion, service]))
                .to.deep.equal([["request-1", "v2", "models"]]);
        });
        it("is recorded anew for an attempt at another version before its first event", async () => {
            const streamOrigins = createTestStreamOrigins();
            const respond = (...[, number]: [BackendAttempt, number]) =>
                number === 0 ? lostResult : createTestResponse(events);
            const trial = createTrial({ respond, instances: [olderEngine, newerEngine], streamOrigins });
            await (await trial.forward(label)).ended;
            const lastVersion = trial.link.attempts.at(-1)!.instance.softwareVersion;
            expect(trial.link.attempts.length).to.equal(2);
            expect(streamOrigins.origins.get("request-1")).to.include({
                softwareVersion: lastVersion,
                attemptNumber: 2,
            });
        });
        it("is refused where the record of an attempt at another version can't be replaced", async () => {
            let recordCount = 0;
            const respond = (...[, number]: [BackendAttempt, number]) =>
                number === 0 ? lostResult : createTestResponse(events);
            const streamOrigins: StreamOrigins = {
                record: () => Promise.resolve(recordCount++ === 0),
                find: () => Promise.resolve(undefined),
            };
            const result = await getResult({ respond, instances: [olderEngine, newerEngine], streamOrigins }, label);
            expect([result.text, result.refusal]).to.deep.equal(["", "unknown"]);
        });
        it("is served where its only record fails", async () => {
            const streamOrigins: StreamOrigins = {
                record: () => Promise.resolve(false),
                find: () => Promise.resolve(undefined),
            };
            const respond = () => createTestResponse(events);
            const result = await getResult({ respond, instances: [olderEngine, newerEngine], streamOrigins }, label);
            expect(result.text).to.equal(`200 ${events.join("")}end`);
        });
        it("of an unknown version is served but not resumed", async () => {
            const unknown = ["engine-1", "engine-2"].map(instanceId =>
                createTestInstance({ instanceId, softwareVersion: "" })
            );
            const respond = () => createTestResponse(events.slice(0, 1), false);
            const result = await getResult({ respond, instances: unknown }, label);
            expect([result.text, result.sent]).to.deep.equal([`200 ${events[0]}broken off`, 1]);
        });
    });

    describe("the log line at the end of a request", () => {
        async function doTest(response: AttemptResult, request: Partial<ForwardedRequest>, expected: ResponseEnd) {
            const lines: string[] = [];
            const logger = createLogger("entry-1", { level: "info", file: undefined }, {
                write: line => lines.push(line),
            });
            await getResult({ respond: () => response, logger }, request);
            expect((JSON.parse(lines.at(-1)!) as { responseEnd: ResponseEnd; }).responseEnd).to.deep.equal(expected);
        }

        it("names the framing and the completeness of a whole response", () =>
            doTest(createTestResponse(["done"]), release, { framing: ResponseFraming.Chunks, isComplete: true }));
        it("names the bytes after the last whole event of a stream", () =>
            doTest(createTestResponse(["id: 1\ndata: a\n\n", "id: 2"], false), summary, {
                framing: ResponseFraming.Chunks,
                isComplete: false,
                bytesAfterLastEvent: 5,
            }));
    });

    describe("concurrent requests with a shared prefix", () => {
        const events = ["id: 1\ndata: a\n\n"];

        /**
         * Sends a request for the summary and a second request; each gets its response once the test calls its start
         * function.
         */
        async function createPair(second: Partial<ForwardedRequest>) {
            const starts: (() => void)[] = [];
            const trial = createTrial({
                respond: () => new Promise(resolve => starts.push(() => resolve(createTestResponse(events)))),
            });
            const requests = [
                await trial.forward(summary),
                await trial.forward({ ...second, requestId: "request-2" }),
            ];
            return { trial, starts, requests };
        }

        it("cause one prefill: the second is sent to the same engine after the first event of the first", async () => {
            const { trial, starts, requests } = await createPair(summary);
            expect(trial.link.attempts.length).to.equal(1);
            starts[0]!();
            await requests[0]!.ended;
            await trial.clock.advance(0);
            const [first, second] = trial.link.attempts;
            expect(second?.instance.instanceId).to.equal(first?.instance.instanceId);
            starts[1]!();
            await requests[1]!.ended;
            expect(requests[1]!.reply.getText()).to.equal(`200 ${events[0]}end`);
        });
        it("wait for each other no longer than a share of the latency objective", async () => {
            const { trial } = await createPair(summary);
            await trial.clock.advance(199);
            expect(trial.link.attempts.length).to.equal(1);
            await trial.clock.advance(1);
            expect(trial.link.attempts.length).to.equal(2);
        });
        it("are sent immediately where their prefixes differ", async () => {
            const { prompt } = summary;
            const parts = prompt!.parts.map(part => ({ ...part, id: `other-${part.id}` }));
            const { trial } = await createPair({ ...summary, prompt: createPromptDescriptor({ ...prompt!, parts }) });
            expect(trial.link.attempts.length).to.equal(2);
        });
        it("are not waited for once a whole response has ended the prefill", async () => {
            const trial = createTrial({ respond: () => createTestResponse(["read"]) });
            await (await trial.forward({ ...read, prompt: summary.prompt })).ended;
            await trial.forward({ ...read, prompt: summary.prompt, requestId: "request-2" });
            expect(trial.link.attempts.length).to.equal(2);
        });
        it("do not wait for a caller that has disconnected", async () => {
            const caller = new AbortController();
            const { trial, requests } = await createPair({ ...summary, signal: caller.signal });
            caller.abort();
            await trial.clock.advance(200);
            await requests[1]!.ended;
            expect([trial.link.attempts.length, requests[1]!.reply.getText()]).to.deep.equal([1, ""]);
        });
    });

    describe("admission", () => {
        function doTest(changes: Partial<ForwardedRequest>, expected: RefusalReason) {
            return async () => {
                const trial = createTrial({ respond: () => createTestResponse([]) });
                const { reply, ended } = await trial.forward(changes);
                await ended;
                expect([reply.getRefusal()?.reason, trial.link.attempts.length]).to.deep.equal([expected, 0]);
            };
        }

        it("denies a path without a route", doTest({ path: "/other/1" }, RefusalReason.NOT_FOUND));
        it("denies an unknown key", doTest({ ...read, apiKey: "other" }, RefusalReason.INVALID_KEY));
        it("denies a request without a key", doTest({ ...read, apiKey: undefined }, RefusalReason.INVALID_KEY));

        it("refuses requests that need a key as not run once the routing document is too old", async () => {
            const trial = createTrial({ respond: () => createTestResponse([]) });
            await trial.clock.advance(3_501);
            const { reply, ended } = await trial.forward({ ...read, arrivalMilliseconds: 3_501 });
            await ended;
            expect([reply.getRefusal()?.kind, reply.getRefusal()?.reason, trial.link.attempts.length])
                .to.deep.equal(["notRun", RefusalReason.STALE_SETTINGS, 0]);
        });
        it("denies nothing by a routing document that is too old", async () => {
            const trial = createTrial({ respond: () => createTestResponse([]) });
            await trial.clock.advance(3_501);
            const { reply, ended } = await trial.forward({ path: "/other/1", arrivalMilliseconds: 3_501 });
            await ended;
            expect(reply.getRefusal()?.kind).to.equal("notRun");
        });
        it("sends nothing to a backend server that is leaving", async () => {
            const leaving = services.map(instance =>
                createTestInstance({ ...instance, weights: [], isLeaving: true, $typeName: undefined })
            );
            const result = await getResult({ respond: () => createTestResponse([]), instances: leaving }, read);
            expect([result.refusal, result.sent]).to.deep.equal(["notRun", 0]);
        });
    });

    describe("deadlines and disconnection", () => {
        it("passes on the remaining time of the shorter timeout of route and caller", async () => {
            const trial = createTrial({ respond: () => createTestResponse(["x"]) });
            await trial.clock.advance(100);
            await (await trial.forward({ ...read, callerMilliseconds: 600 })).ended;
            await (await trial.forward({ ...read, callerMilliseconds: 9_000 })).ended;
            expect(trial.link.attempts.map(attempt => attempt.remainingMilliseconds)).to.deep.equal([500, 1_900]);
        });
        it("ends a request at its route's timeout, and reports that it may have run", async () => {
            const trial = createTrial({ respond: waitForEnd });
            const { reply, ended } = await trial.forward({ ...release, callerMilliseconds: 9_000 });
            await trial.clock.advance(1_999);
            expect(reply.getRefusal()).to.equal(undefined);
            await trial.clock.advance(1);
            await ended;
            expect(reply.getRefusal()).to.deep.equal({ kind: "unknown", reason: RefusalReason.DEADLINE });
        });
        it("ends the work once the caller has disconnected", async () => {
            const caller = new AbortController();
            const trial = createTrial({ respond: waitForEnd });
            const { reply, ended } = await trial.forward({ ...release, signal: caller.signal });
            caller.abort();
            await ended;
            expect([trial.link.attempts[0]!.signal.aborted, reply.getText(), reply.getRefusal()])
                .to.deep.equal([true, "", undefined]);
        });
    });

    describe("a starting entry process", () => {
        /**
         * Sends a request before the routing document and the fleet are received; returns the response and its time.
         */
        async function getHoldResult(
            sentMilliseconds: number,
            receivedMilliseconds: number,
            callerMilliseconds: number,
        ) {
            const trial = createTrial({ respond: () => createTestResponse(["read"]), isStarting: true });
            await trial.clock.advance(sentMilliseconds);
            const arrivalMilliseconds = sentMilliseconds;
            const { reply, ended } = await trial.forward({
                ...read,
                callerMilliseconds,
                arrivalMilliseconds,
            });
            let endMilliseconds = NaN;
            void ended.then(() => endMilliseconds = trial.clock.getMonotonicMilliseconds());
            for (let now = sentMilliseconds; now < 4_000; now += 50) {
                if (now === receivedMilliseconds) {
                    trial.receiveState();
                }
                await trial.clock.advance(50);
            }
            return [reply.getText() || reply.getRefusal()?.kind, endMilliseconds];
        }

        it("holds requests until it has the routing document and the fleet", async () =>
            expect(await getHoldResult(100, 900, 3_000)).to.deep.equal(["200 read whole", 900]));
        it("refuses requests as not run that it can't serve soon after its start", async () =>
            expect(await getHoldResult(100, 3_000, 9_000)).to.deep.equal(["notRun", 1_500]));
        it("leaves callers time to retry", async () =>
            expect(await getHoldResult(100, 3_000, 1_500)).to.deep.equal(["notRun", 595]));
        it("refuses immediately later on", async () =>
            expect(await getHoldResult(1_600, 3_000, 9_000)).to.deep.equal(["notRun", 1_600]));
    });

    describe("an unresponsive backend server", () => {
        it("is replaced by another for requests that may be repeated, soon after it is detected", async () => {
            const trial = createTrial({
                respond: (attempt, number) => number === 0 ? waitForEnd(attempt) : createTestResponse(["read"]),
                probe: () => false,
            });
            const { reply, ended } = await trial.forward(read);
            await trial.clock.advance(500);
            await ended;
            expect(reply.getText()).to.equal("200 read whole");
        });
        it("is detected although the probe itself never ends", async () => {
            const trial = createTrial({
                respond: (...[attempt, number]) => number === 0 ? waitForEnd(attempt) : createTestResponse(["read"]),
                probe: () => "never",
            });
            const { reply, ended } = await trial.forward(read);
            await trial.clock.advance(900);
            await ended;
            expect(reply.getText()).to.equal("200 read whole");
        });
        it("keeps its requests where it is only slow and responds to the probe", async () => {
            const trial = createTrial({ respond: waitForEnd, probe: () => true });
            const { reply, ended } = await trial.forward(read);
            await trial.clock.advance(900);
            expect([trial.link.attempts.length, reply.getRefusal()]).to.deep.equal([1, undefined]);
            await trial.clock.advance(2_000);
            await ended;
        });
        it("is probed less and less often while it is only slow", async () => {
            const probeTimes: number[] = [];
            const trial = createTrial({
                respond: waitForEnd,
                probe: () => {
                    probeTimes.push(trial.clock.getMonotonicMilliseconds());
                    return true;
                },
            });
            const { ended } = await trial.forward(read);
            for (let step = 0; step < 40; step++) {
                await trial.clock.advance(50);
            }
            await ended;
            // Inactivity of 350, 700 and 1,400 ms precedes the probes: the third does not end within the route's 2 s.
            expect(probeTimes.length).to.equal(2);
        });
        it("keeps a stream that no other backend server of its software version can continue", () =>
            doStreamTest({
                instances: [engines[0]!, createTestInstance({ instanceId: "engine-new", softwareVersion: "v2" })],
            }));
        it("keeps a stream where the others have used up the limits that they name", () =>
            doStreamTest({
                getLimitWait: instanceId => instanceId === "engine-1" ? 0 : 1_000,
            }));
        it("keeps its streams while the others are silent as well", async () => {
            const trial = createTrial({
                respond: async ({ signal }) => {
                    await trial.clock.sleep(1_200, signal);
                    return signal.aborted ? lostResult : createTestResponse(["id: 1\ndata: a\n\n"]);
                },
                probe: () => "never",
                instances: engines.slice(0, 2),
            });
            const streams = await Promise.all(
                Array.from({ length: 12 }, (...[, index]) => {
                    const parts = [{ id: `part-${index}`, tokens: 500 }, { id: "own", tokens: 900 }];
                    return trial.forward({ ...label, prompt: createPromptDescriptor({ ...label.prompt!, parts }) });
                }),
            );
            expect(new Set(trial.link.attempts.map(attempt => attempt.instance.instanceId)).size).to.equal(2);
            await trial.clock.advance(1_500);
            await Promise.all(streams.map(({ ended }) => ended));
            expect([...new Set(streams.map(({ reply }) => reply.getText()))]).to.deep.equal([
                "200 id: 1\ndata: a\n\nend",
            ]);
            expect(trial.link.attempts.length).to.equal(12);
        });
        it("keeps a stream where the retry budget is used up", () => doStreamTest({ retryReserve: 0 }));

        /** Forwards a stream whose server is silent for some time, and expects that it is not ended. */
        async function doStreamTest(options: Partial<TrialOptions>): Promise<void> {
            const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
            const trial = createTrial({
                respond: attempt => respondAfterPause(attempt, events),
                probe: () => false,
                ...options,
            });
            const { reply, ended } = await trial.forward(label);
            await trial.clock.advance(1_500);
            await ended;
            expect([reply.getText(), trial.link.attempts.length]).to.deep.equal([`200 ${events.join("")}end`, 1]);

            /** Sends an event, and another one after a pause unless the attempt is ended before. */
            function respondAfterPause(
                { signal }: BackendAttempt,
                [first, second]: string[],
            ): AttemptResult {
                let isComplete = true;
                return {
                    ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
                    body: (async function*() {
                        yield Buffer.from(first!);
                        await trial.clock.sleep(1_200, signal);
                        isComplete = !signal.aborted;
                        if (isComplete) {
                            yield Buffer.from(second!);
                        }
                    })(),
                    hold: () => undefined,
                    isComplete: () => isComplete,
                };
            }
        }
        it("ends a stream that must not run again once its server is known to be gone, not for silence", async () => {
            let state: InstanceState | "never" = "never";
            const routes = createTestDocument().routes.map(route => ({ ...route, timeoutMilliseconds: 15_000 }));
            const trial = createTrial({ respond: waitForEnd, probe: () => state, document: { routes } });
            const { reply, ended } = await trial.forward({ ...summary, callerMilliseconds: 15_000 });
            await trial.clock.advance(10_000);
            expect(reply.getRefusal()).to.equal(undefined);
            state = InstanceState.Ended;
            await trial.clock.advance(1_000);
            await ended;
            expect([reply.getRefusal()?.kind, trial.link.attempts.length]).to.deep.equal(["unknown", 1]);
        });
        it("keeps a request that must not run twice and may still be answered", async () => {
            const trial = createTrial({
                respond: async ({ signal }) => {
                    await trial.clock.sleep(1_900, signal);
                    return createTestResponse(["done"]);
                },
                probe: () => "never",
            });
            const { reply, ended } = await trial.forward(release);
            await trial.clock.advance(1_900);
            await ended;
            expect(reply.getText()).to.equal("200 done whole");
        });
        it("is sent no more requests until it responds again", async () => {
            let isUnresponsive = true;
            const instances = services.slice(0, 2);
            const trial = createTrial({
                respond: attempt =>
                    isUnresponsive && attempt.instance.instanceId === "actions-1"
                        ? waitForEnd(attempt)
                        : createTestResponse(["read"]),
                probe: () => !isUnresponsive,
                instances,
            });
            for (let count = 0; count < 4; count++) {
                await trial.forward({ ...release, arrivalMilliseconds: trial.clock.getMonotonicMilliseconds() });
            }
            await trial.clock.advance(500);
            const before = trial.link.attempts.length;
            for (let count = 0; count < 10; count++) {
                const arrivalMilliseconds = trial.clock.getMonotonicMilliseconds();
                await (await trial.forward({ ...release, arrivalMilliseconds })).ended;
            }
            expect(trial.link.attempts.slice(before).map(attempt => attempt.instance.instanceId))
                .to.not.include("actions-1");
            isUnresponsive = false;
            await trial.clock.advance(3_000);
        });
    });

    /** Waits until the attempt is ended, like an attempt that never gets a response. */
    function waitForEnd({ signal, goneSignal }: BackendAttempt): Promise<AttemptResult> {
        return new Promise(resolve => {
            const end = () => resolve(lostResult);
            signal.addEventListener("abort", end);
            goneSignal.addEventListener("abort", end);
        });
    }
});
