import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    AttemptState,
    DispatchRequestSchema,
    FencingNumberSchema,
    RefusalReason,
    RunState,
    TextChunkSchema,
} from "../../../src/protocol";
import { AttemptLimits, createAttemptRegistry, defaultAttemptLimits } from "../../../src/sidecar";
import { createRefusedEvent } from "../../../src/sidecar/createRefusedEvent";
import { createVirtualClock } from "../../entry/createVirtualClock";

describe("createAttemptRegister", () => {
    const incarnation = "1";

    function createHarness(bounds: Partial<AttemptLimits> = {}) {
        const clock = createVirtualClock();
        const register = createAttemptRegistry({
            incarnation,
            clock,
            limits: { ...defaultAttemptLimits, ...bounds },
        });
        return { clock, register, begin, forbid };

        function begin(index: number | undefined, requestId = `request-${index}`, sidecarIncarnation = incarnation) {
            const claim = index === undefined ? undefined : getNumber(index);
            const work = { case: "service" as const, value: { idempotent: index === undefined } };
            return register.begin(
                create(DispatchRequestSchema, {
                    requestId,
                    attempt: 1,
                    companionIncarnation: sidecarIncarnation,
                    claim,
                    work,
                }),
            );
        }

        function forbid(index: number, sidecarIncarnation = incarnation): AttemptState {
            return register.forbid(getNumber(index), sidecarIncarnation).state;
        }
    }

    function getNumber(index: number) {
        return create(FencingNumberSchema, { term: 1n, index: BigInt(index) });
    }

    type Harness = ReturnType<typeof createHarness>;

    describe("begin", () => {
        function doTest(
            act: (harness: Harness) => ReturnType<Harness["begin"]>,
            expected: "begun" | RunState,
            bounds: Partial<AttemptLimits> = {},
        ): void {
            const harness = createHarness(bounds);
            const outcome = act(harness);
            harness.clock.stop();
            expect(outcome.kind === "begun" ? "begun" : outcome.runState).to.equal(expected);
        }

        it("lets a new number run", () => doTest(({ begin }) => begin(1), "begun"));
        it("runs a number once", () =>
            doTest(({ begin }) => {
                begin(1);
                return begin(1, "another");
            }, RunState.UNKNOWN));
        it("runs nothing for another incarnation", () =>
            doTest(({ begin }) => begin(1, "request", "0"), RunState.NOT_RUN));
        it("runs no forbidden number", () =>
            doTest(({ begin, forbid }) => {
                forbid(1);
                return begin(1);
            }, RunState.NOT_RUN));
        it("runs no number below those it has forgotten", () =>
            doTest(
                ({ begin }) => {
                    [2, 3, 4].forEach(index => begin(index));
                    return begin(1);
                },
                RunState.UNKNOWN,
                { maximumFencingTokens: 2 },
            ));
        it("runs no call that may not be repeated without a claim", () =>
            doTest(({ register }) => {
                return register.begin(create(DispatchRequestSchema, { work: { case: "service", value: {} } }));
            }, RunState.NOT_RUN));
    });

    describe("forbid", () => {
        async function doTest(
            act: (harness: Harness) => Promise<AttemptState> | AttemptState,
            expected: AttemptState,
            bounds: Partial<AttemptLimits> = {},
        ): Promise<void> {
            const harness = createHarness(bounds);
            const state = await act(harness);
            harness.clock.stop();
            expect(state).to.equal(expected);
        }

        async function runToEnd({ begin, register }: Harness, runState: RunState): Promise<void> {
            const begun = begin(1);
            if (begun.kind === "begun") {
                begun.attempt.setRunState(runState);
                await begun.attempt.replayBuffer.add(createRefusedEvent(RefusalReason.DRAINING, runState, "", 0n));
                register.end(begun.attempt);
            }
        }

        it("forbids an unseen number", () => doTest(({ forbid }) => forbid(1), AttemptState.FORBIDDEN));
        it("tells of a running one", () =>
            doTest(({ begin, forbid }) => {
                begin(1);
                return forbid(1);
            }, AttemptState.RUNNING));
        it("tells of an ended one", () =>
            doTest(async harness => {
                await runToEnd(harness, RunState.RAN);
                return harness.forbid(1);
            }, AttemptState.ENDED));
        it("counts one that ended in the queue as forbidden", () =>
            doTest(async harness => {
                await runToEnd(harness, RunState.NOT_RUN);
                return harness.forbid(1);
            }, AttemptState.FORBIDDEN));
        it("knows nothing of another incarnation's", () =>
            doTest(({ forbid }) => forbid(1, "0"), AttemptState.INCARNATION_GONE));
        it("does not call one never run that it may have forgotten", () =>
            doTest(
                ({ begin, forbid }) => {
                    [1, 2, 3].forEach(index => begin(index));
                    return forbid(1);
                },
                AttemptState.FORGOTTEN,
                { maximumFencingTokens: 2 },
            ));
    });

    describe("an attempt", () => {
        it("without a claim is given up once nobody has followed it for a while", async () => {
            const { begin, clock, register } = createHarness();
            const begun = begin(undefined, "request");
            expect(begun.kind).to.equal("begun");
            if (begun.kind === "begun") {
                register.startUnfollowedTimeout(begun.attempt);
                await clock.sleep(defaultAttemptLimits.unfollowedTimeoutMilliseconds + 1);
                expect(begun.attempt.signal.aborted).to.equal(true);
            }
            clock.stop();
        });

        it("under a claim goes on, and is never given up once it is handed on", async () => {
            const { begin, clock, register } = createHarness();
            const begun = begin(1);
            if (begun.kind === "begun") {
                begun.attempt.setRunState(RunState.UNKNOWN);
                register.startUnfollowedTimeout(begun.attempt);
                begun.attempt.cancel();
                await clock.sleep(defaultAttemptLimits.unfollowedTimeoutMilliseconds * 2);
                expect(begun.attempt.signal.aborted).to.equal(false);
            }
            clock.stop();
        });

        it("is held back while its reader is slow, and loses nothing", async () => {
            const { begin, clock } = createHarness({ replayBufferBytes: 200 });
            const begun = begin(undefined, "request");
            const texts: string[] = [];
            if (begun.kind === "begun") {
                const { replayBuffer: tail } = begun.attempt;
                const writing = (async () => {
                    for (let number = 0; number < 20; number++) {
                        const value = create(TextChunkSchema, { text: String(number), tokens: 1 });
                        await tail.add({ case: "text", value });
                    }
                    await tail.add(createRefusedEvent(RefusalReason.CANCELLED, RunState.RAN, "", 0n));
                })();
                await clock.sleep(100);
                expect(tail.getBytes()).to.be.at.most(300);
                for await (const { event } of tail.follow(1n, new AbortController().signal)) {
                    texts.push(event.case === "text" ? event.value.text : "end");
                }
                await writing;
            }
            clock.stop();
            expect(texts).to.deep.equal([...[...Array(20).keys()].map(String), "end"]);
        });
    });
});
