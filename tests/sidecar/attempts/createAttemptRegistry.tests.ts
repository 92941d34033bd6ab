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

describe("createAttemptRegistry", () => {
    const incarnation = "1";

    function createHarness(limits: Partial<AttemptLimits> = {}) {
        const clock = createVirtualClock();
        const registry = createAttemptRegistry({
            incarnation,
            clock,
            limits: { ...defaultAttemptLimits, ...limits },
        });
        return { clock, registry, begin, forbid };

        function begin(index: number | undefined, requestId = `request-${index}`, sidecarIncarnation = incarnation) {
            const claim = index === undefined ? undefined : getToken(index);
            const work = { case: "service" as const, value: { idempotent: index === undefined } };
            return registry.begin(
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
            return registry.forbid(getToken(index), sidecarIncarnation).state;
        }
    }

    function getToken(index: number) {
        return create(FencingNumberSchema, { term: 1n, index: BigInt(index) });
    }

    type Harness = ReturnType<typeof createHarness>;

    describe("begin", () => {
        function doTest(
            act: (harness: Harness) => ReturnType<Harness["begin"]>,
            expected: "begun" | RunState,
            limits: Partial<AttemptLimits> = {},
        ): void {
            const harness = createHarness(limits);
            const outcome = act(harness);
            harness.clock.stop();
            expect(outcome.kind === "begun" ? "begun" : outcome.runState).to.equal(expected);
        }

        it("runs a new fencing token", () => doTest(({ begin }) => begin(1), "begun"));
        it("runs a token once", () =>
            doTest(({ begin }) => {
                begin(1);
                return begin(1, "another");
            }, RunState.UNKNOWN));
        it("runs nothing for another incarnation", () =>
            doTest(({ begin }) => begin(1, "request", "0"), RunState.NOT_RUN));
        it("does not run a forbidden token", () =>
            doTest(({ begin, forbid }) => {
                forbid(1);
                return begin(1);
            }, RunState.NOT_RUN));
        it("does not run a token below those it has discarded", () =>
            doTest(
                ({ begin }) => {
                    [2, 3, 4].forEach(index => begin(index));
                    return begin(1);
                },
                RunState.UNKNOWN,
                { maximumFencingTokens: 2 },
            ));
        it("does not run a non-idempotent call without a claim", () =>
            doTest(({ registry }) => {
                return registry.begin(create(DispatchRequestSchema, { work: { case: "service", value: {} } }));
            }, RunState.NOT_RUN));
    });

    describe("forbid", () => {
        async function doTest(
            act: (harness: Harness) => Promise<AttemptState> | AttemptState,
            expected: AttemptState,
            limits: Partial<AttemptLimits> = {},
        ): Promise<void> {
            const harness = createHarness(limits);
            const state = await act(harness);
            harness.clock.stop();
            expect(state).to.equal(expected);
        }

        async function runToEnd({ begin, registry }: Harness, runState: RunState): Promise<void> {
            const begun = begin(1);
            if (begun.kind === "begun") {
                begun.attempt.setRunState(runState);
                await begun.attempt.replayBuffer.add(createRefusedEvent(RefusalReason.DRAINING, runState, "", 0n));
                registry.end(begun.attempt);
            }
        }

        it("forbids an unseen token", () => doTest(({ forbid }) => forbid(1), AttemptState.FORBIDDEN));
        it("reports a running attempt", () =>
            doTest(({ begin, forbid }) => {
                begin(1);
                return forbid(1);
            }, AttemptState.RUNNING));
        it("reports an ended attempt", () =>
            doTest(async harness => {
                await runToEnd(harness, RunState.RAN);
                return harness.forbid(1);
            }, AttemptState.ENDED));
        it("reports an attempt that ended in the queue as forbidden", () =>
            doTest(async harness => {
                await runToEnd(harness, RunState.NOT_RUN);
                return harness.forbid(1);
            }, AttemptState.FORBIDDEN));
        it("reports that another incarnation has terminated", () =>
            doTest(({ forbid }) => forbid(1, "0"), AttemptState.INCARNATION_GONE));
        it("reports a token that it may have discarded as forgotten", () =>
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
        it("without a claim is cancelled after a time without followers", async () => {
            const { begin, clock, registry } = createHarness();
            const begun = begin(undefined, "request");
            expect(begun.kind).to.equal("begun");
            if (begun.kind === "begun") {
                registry.startUnfollowedTimeout(begun.attempt);
                await clock.sleep(defaultAttemptLimits.unfollowedTimeoutMilliseconds + 1);
                expect(begun.attempt.signal.aborted).to.equal(true);
            }
            clock.stop();
        });

        it("under a claim keeps running, and is not cancelled once it is sent to the backend server", async () => {
            const { begin, clock, registry } = createHarness();
            const begun = begin(1);
            if (begun.kind === "begun") {
                begun.attempt.setRunState(RunState.UNKNOWN);
                registry.startUnfollowedTimeout(begun.attempt);
                begun.attempt.cancel();
                await clock.sleep(defaultAttemptLimits.unfollowedTimeoutMilliseconds * 2);
                expect(begun.attempt.signal.aborted).to.equal(false);
            }
            clock.stop();
        });

        it("is slowed down while its follower is slow, and loses no event", async () => {
            const { begin, clock } = createHarness({ replayBufferBytes: 200 });
            const begun = begin(undefined, "request");
            const texts: string[] = [];
            if (begun.kind === "begun") {
                const { replayBuffer } = begun.attempt;
                const writing = (async () => {
                    for (let number = 0; number < 20; number++) {
                        const value = create(TextChunkSchema, { text: String(number), tokens: 1 });
                        await replayBuffer.add({ case: "text", value });
                    }
                    await replayBuffer.add(createRefusedEvent(RefusalReason.CANCELLED, RunState.RAN, "", 0n));
                })();
                await clock.sleep(100);
                expect(replayBuffer.getBytes()).to.be.at.most(300);
                for await (const { event } of replayBuffer.follow(1n, new AbortController().signal)) {
                    texts.push(event.case === "text" ? event.value.text : "end");
                }
                await writing;
            }
            clock.stop();
            expect(texts).to.deep.equal([...[...Array(20).keys()].map(String), "end"]);
        });
    });
});
