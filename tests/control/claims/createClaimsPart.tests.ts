import { create, MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { ClaimsPart, createClaimsPart, defaultClaimBounds } from "../../../src/control/claims";
import {
    ClaimBoundsSchema,
    ClaimOutcome,
    ClaimResult,
    ClaimResultSchema,
    ClaimState,
    Command,
    CommandSchema,
    FencingNumber,
    QueryKind,
} from "../../../src/protocol";

type CommandShape = MessageInitShape<typeof CommandSchema>["command"];

describe("createClaimsPart", () => {
    const text = new TextEncoder();

    function createHarness(part: ClaimsPart = createClaimsPart()) {
        let index = 0n;
        return { part, run };

        function run(command: CommandShape, timeMilliseconds = 0): ClaimResult {
            index++;
            const message: Command = create(CommandSchema, { command });
            const result = part.apply(message, { term: 1n, index, timeMilliseconds });
            return result!.value as ClaimResult;
        }
    }

    function open(request: string, options: { key?: string; body?: string; forbidden?: FencingNumber; } = {}) {
        const claim = {
            workspace: "regie",
            idempotencyKey: options.key ?? "key",
            bodyDigest: text.encode(options.body ?? "body"),
            companion: "companion",
            companionIncarnation: "1",
            requestId: request,
        };
        return { case: "openClaim", value: { claim, forbidden: options.forbidden } } as const;
    }

    function settle(number: FencingNumber | undefined, state: ClaimState, body = "answer") {
        const answer = { status: 200, body: text.encode(body) };
        return {
            case: "settleClaim",
            value: { workspace: "regie", idempotencyKey: "key", number, state, answer },
        } as const;
    }

    function resolve(state: ClaimState) {
        const value = { workspace: "regie", idempotencyKey: "key", author: "operator", state };
        return { case: "resolveClaim", value } as const;
    }

    function createLimitsCommand(values: MessageInitShape<typeof ClaimBoundsSchema>) {
        return { case: "claimBounds", value: { ...defaultClaimBounds, ...values } } as const;
    }

    describe("getEvents", () => {
        function doTest(act: (harness: ReturnType<typeof createHarness>) => void, expected: readonly string[]) {
            const harness = createHarness();
            act(harness);
            const copy = createClaimsPart();
            copy.restoreSnapshot(harness.part.takeSnapshot());
            for (const part of [harness.part, copy]) {
                expect(part.getEvents().map(({ index, kind, subject }) => `${index} ${kind} ${subject}`))
                    .to.deep.equal(expected);
            }
            expect(copy.getEvents()).to.deep.equal(harness.part.getEvents());
            expect(JSON.stringify(copy.getEvents())).not.to.include("secret");
        }

        function openAndSettle(harness: ReturnType<typeof createHarness>, state: ClaimState): FencingNumber {
            const { number } = harness.run(open("a")).claim!;
            harness.run(settle(number, state, "secret"));
            return number!;
        }

        it("contain an outcome that is unknown", () =>
            doTest(harness => openAndSettle(harness, ClaimState.UNKNOWN), ["2 claimUnknown regie"]));
        it("contain an unknown outcome once when it is reported twice", () =>
            doTest(harness => {
                harness.run(settle(openAndSettle(harness, ClaimState.UNKNOWN), ClaimState.UNKNOWN));
            }, ["2 claimUnknown regie"]));
        it("contain an open claim that an operator closed as unknown", () =>
            doTest(harness => {
                harness.run(open("a"));
                harness.run(resolve(ClaimState.UNKNOWN));
            }, ["2 claimUnknown regie"]));
        it("contain no answered claims", () => doTest(harness => openAndSettle(harness, ClaimState.ANSWERED), []));
        it("name the request but not the idempotency key", () => {
            const harness = createHarness();
            const { number } = harness.run(open("a", { key: "secret-key" })).claim!;
            const settlement = settle(number, ClaimState.UNKNOWN);
            harness.run({ ...settlement, value: { ...settlement.value, idempotencyKey: "secret-key" } });
            const text = "the outcome of request a (attempt 1 at companion) is unknown";
            expect(harness.part.getEvents().map(event => event.text)).to.deep.equal([text]);
        });
    });

    describe("openClaim", () => {
        function doTest(before: (harness: ReturnType<typeof createHarness>) => CommandShape, expected: ClaimOutcome) {
            const harness = createHarness();
            const command = before(harness);
            expect(harness.run(command).outcome).to.equal(expected);
        }

        it("grants a new key", () => doTest(() => open("a"), ClaimOutcome.GRANTED));
        it("grants nothing where the request names no sidecar", () =>
            doTest(() => {
                const { claim } = open("a").value;
                return { case: "openClaim", value: { claim: { ...claim, companion: "" } } };
            }, ClaimOutcome.STALE));
        it("returns the open claim to a repeated request", () =>
            doTest(harness => {
                harness.run(open("a"));
                return open("b");
            }, ClaimOutcome.EXISTS));
        it("grants the same opening again, since its response may have been lost", () =>
            doTest(harness => {
                harness.run(open("a"));
                return open("a");
            }, ClaimOutcome.GRANTED));
        it("refuses another body under the same key", () =>
            doTest(harness => {
                harness.run(open("a"));
                return open("b", { body: "other" });
            }, ClaimOutcome.BODY_DIFFERS));
        it("grants the next attempt once the previous fencing token is forbidden", () =>
            doTest(harness => {
                const { claim } = harness.run(open("a"));
                return open("b", { forbidden: claim!.number });
            }, ClaimOutcome.GRANTED));
        it("grants only one next attempt for a forbidden fencing token", () =>
            doTest(harness => {
                const { claim } = harness.run(open("a"));
                harness.run(open("b", { forbidden: claim!.number }));
                return open("c", { forbidden: claim!.number });
            }, ClaimOutcome.STALE));
        it("returns the outcome of an answered claim", () =>
            doTest(harness => {
                const { claim } = harness.run(open("a"));
                harness.run(settle(claim!.number, ClaimState.ANSWERED));
                return open("b");
            }, ClaimOutcome.SETTLED));
        it("grants a new attempt for an abandoned claim, which provably never ran", () =>
            doTest(harness => {
                const { claim } = harness.run(open("a"));
                harness.run(settle(claim!.number, ClaimState.ABANDONED));
                return open("b");
            }, ClaimOutcome.GRANTED));
        it("grants no new attempt for a claim with an unknown outcome", () =>
            doTest(harness => {
                const { claim } = harness.run(open("a"));
                harness.run(settle(claim!.number, ClaimState.UNKNOWN));
                return open("b", { forbidden: claim!.number });
            }, ClaimOutcome.SETTLED));
        it("refuses a new key beyond the maximum instead of evicting an older one", () =>
            doTest(harness => {
                harness.run(createLimitsCommand({ maximumKeys: 1 }));
                harness.run(open("a"));
                return open("b", { key: "other" });
            }, ClaimOutcome.FULL));
        it("refuses a new key beyond the maximum of its workspace", () =>
            doTest(harness => {
                harness.run(createLimitsCommand({ maximumKeysPerWorkspace: 1 }));
                harness.run(open("a"));
                return open("b", { key: "other" });
            }, ClaimOutcome.FULL));
    });

    describe("settleClaim", () => {
        function doTest(previous: ClaimState, next: ClaimState, expected: ClaimState) {
            const harness = createHarness();
            const { claim } = harness.run(open("a"));
            harness.run(settle(claim!.number, previous));
            expect(harness.run(settle(claim!.number, next)).claim!.state).to.equal(expected);
        }

        it("replaces an unknown outcome by a response", () =>
            doTest(ClaimState.UNKNOWN, ClaimState.ANSWERED, ClaimState.ANSWERED));
        it("keeps a response when the outcome is later reported as unknown", () =>
            doTest(ClaimState.ANSWERED, ClaimState.UNKNOWN, ClaimState.ANSWERED));
        it("keeps an abandoned claim, which provably never ran", () =>
            doTest(ClaimState.ABANDONED, ClaimState.ANSWERED, ClaimState.ABANDONED));

        it("refuses a fencing token other than the current one of the claim", () => {
            const harness = createHarness();
            const first = harness.run(open("a")).claim!.number;
            harness.run(open("b", { forbidden: first }));
            expect(harness.run(settle(first, ClaimState.ANSWERED)).outcome).to.equal(ClaimOutcome.STALE);
        });

        it("stores a response beyond the maximum size without its body, marked as truncated", () => {
            const harness = createHarness();
            harness.run(createLimitsCommand({ maximumBytesPerAnswer: 4n }));
            const { claim } = harness.run(open("a"));
            harness.run(settle(claim!.number, ClaimState.ANSWERED));
            const { answer } = harness.run(open("b")).claim!;
            expect([answer!.truncated, answer!.body.length]).to.deep.equal([true, 0]);
        });
    });

    describe("resolveClaim", () => {
        function doTest(previous: ClaimState | undefined, resolution: ClaimState, expected: ClaimOutcome) {
            const harness = createHarness();
            const { claim } = harness.run(open("a"));
            if (previous !== undefined) {
                harness.run(settle(claim!.number, previous));
            }
            expect(harness.run(resolve(resolution)).outcome).to.equal(expected);
        }

        it("resolves an unknown outcome", () => doTest(ClaimState.UNKNOWN, ClaimState.ABANDONED, ClaimOutcome.SETTLED));
        it("never resolves an open claim, which may still run", () =>
            doTest(undefined, ClaimState.ABANDONED, ClaimOutcome.EXISTS));
        it("closes an open claim as unknown, which is never granted again", () =>
            doTest(undefined, ClaimState.UNKNOWN, ClaimOutcome.SETTLED));
        it("never resolves an answered claim", () =>
            doTest(ClaimState.ANSWERED, ClaimState.ABANDONED, ClaimOutcome.EXISTS));

        it("is replaced by the actual response when that is reported late", () => {
            const harness = createHarness();
            const { claim } = harness.run(open("a"));
            harness.run(settle(claim!.number, ClaimState.UNKNOWN));
            harness.run(resolve(ClaimState.ABANDONED));
            expect(harness.run(settle(claim!.number, ClaimState.ANSWERED)).claim!.state).to.equal(ClaimState.ANSWERED);
        });
    });

    describe("retention", () => {
        function doTest(answerAge: number, timeMilliseconds: number, expected: [ClaimOutcome, boolean]) {
            const harness = createHarness();
            harness.run(createLimitsCommand({ answerRetentionMilliseconds: 100n, keyRetentionMilliseconds: 1_000n }));
            const { claim } = harness.run(open("a"));
            harness.run(settle(claim!.number, ClaimState.ANSWERED), answerAge);
            const result = harness.run(open("b"), timeMilliseconds);
            expect([result.outcome, result.claim?.answer !== undefined]).to.deep.equal(expected);
        }

        it("keeps the response for its retention", () => doTest(10, 110, [ClaimOutcome.SETTLED, true]));
        it("keeps the key after the response is evicted", () => doTest(10, 111, [ClaimOutcome.SETTLED, false]));
        it("keeps the key for its retention", () => doTest(10, 1_010, [ClaimOutcome.SETTLED, false]));
        it("evicts the key after its retention", () => doTest(10, 1_011, [ClaimOutcome.GRANTED, false]));

        it("evicts the oldest responses beyond the bytes allowed, and keeps their keys", () => {
            const harness = createHarness();
            harness.run(createLimitsCommand({ maximumAnswerBytes: 10n }));
            for (const key of ["first", "second"]) {
                const { claim } = harness.run(open(key, { key }));
                const command = settle(claim!.number, ClaimState.ANSWERED, "123456");
                harness.run({ ...command, value: { ...command.value, idempotencyKey: key } });
            }
            const kept = ["first", "second"].map(key =>
                harness.run(open("resend", { key })).claim!.answer !== undefined
            );
            expect(kept).to.deep.equal([false, true]);
            expect(harness.part.getSize()).to.deep.equal({ keys: 2, openClaims: 0, answerBytes: 6 });
        });

        it("keeps the time of the log when the clock of a new leader is behind", () => {
            const harness = createHarness();
            harness.run(createLimitsCommand({ answerRetentionMilliseconds: 100n }));
            const { claim } = harness.run(open("a"), 1_000);
            harness.run(settle(claim!.number, ClaimState.ANSWERED), 500);
            expect(harness.run(open("b"), 1_050).claim!.answer).to.not.equal(undefined);
        });
    });

    it("lists open claims and unknown outcomes", () => {
        const harness = createHarness();
        harness.run(open("a", { key: "open" }));
        const { claim } = harness.run(open("b"));
        harness.run(settle(claim!.number, ClaimState.UNKNOWN));
        const listed = harness.part.query(QueryKind.CLAIMS, "unknown") as { idempotencyKey: string; }[];
        expect(listed.map(entry => entry.idempotencyKey)).to.deep.equal(["key"]);
        expect((harness.part.query(QueryKind.CLAIMS, "") as unknown[]).length).to.equal(2);
    });

    describe("any sequence of commands", () => {
        interface Step {
            act: "open" | "forbid" | "answer" | "abandon" | "unknown" | "resolve";
            key: string;
            request: string;
            stale: boolean;
            delay: number;
        }
        const steps = fc.array(
            fc.record<Step>({
                act: fc.constantFrom("open", "forbid", "answer", "abandon", "unknown", "resolve"),
                key: fc.constantFrom("a", "b"),
                request: fc.constantFrom("1", "2", "3"),
                stale: fc.boolean(),
                delay: fc.constantFrom(0, 0, 0, 40),
            }),
            { maxLength: 40 },
        );

        function createRunner(part: ClaimsPart) {
            const harness = createHarness(part);
            const numbers = new Map<string, FencingNumber[]>();
            let timeMilliseconds = 0;
            harness.run(createLimitsCommand({ answerRetentionMilliseconds: 30n, keyRetentionMilliseconds: 100n }));
            return { step, harness };

            function step({ act, key, request, stale, delay }: Step): ClaimResult {
                timeMilliseconds += delay;
                const known = numbers.get(key) ?? [];
                const number = known.at(stale ? -2 : -1);
                const result = harness.run(getCommand(act, key, request, number), timeMilliseconds);
                const granted = result.claim?.number?.index;
                if (result.outcome === ClaimOutcome.GRANTED && granted !== known.at(-1)?.index) {
                    numbers.set(key, [...known, result.claim!.number!]);
                }
                return result;
            }
        }

        function getCommand(act: Step["act"], key: string, request: string, number: FencingNumber | undefined) {
            const states = { answer: ClaimState.ANSWERED, abandon: ClaimState.ABANDONED, unknown: ClaimState.UNKNOWN };
            switch (act) {
                case "open":
                    return open(request, { key });
                case "forbid":
                    return open(request, { key, forbidden: number });
                case "resolve": {
                    const command = resolve(ClaimState.ABANDONED);
                    return { ...command, value: { ...command.value, idempotencyKey: key } };
                }
                default: {
                    const command = settle(number, states[act]);
                    return { ...command, value: { ...command.value, idempotencyKey: key } };
                }
            }
        }

        it("grants a second fencing token only after proof against the first, or after the retention of the key", () => {
            fc.assert(
                fc.property(steps, sequence => {
                    const runner = createRunner(createClaimsPart());
                    const openKeys = new Map<string, { number: bigint; changed: number; }>();
                    let time = 0;
                    for (const step of sequence) {
                        time += step.delay;
                        const previous = openKeys.get(step.key);
                        const result = runner.step(step);
                        const number = result.claim?.number?.index;
                        if (
                            result.outcome === ClaimOutcome.GRANTED && previous !== undefined
                            && number !== previous.number
                        ) {
                            const isKeyEvicted = time - previous.changed > 100;
                            expect(isKeyEvicted || (step.act === "forbid" && !step.stale)).to.equal(true);
                        }
                        if (result.outcome === ClaimOutcome.GRANTED && number !== previous?.number) {
                            openKeys.set(step.key, { number: number!, changed: time });
                        }
                        else if (result.claim?.state === ClaimState.ABANDONED) {
                            openKeys.delete(step.key);
                        }
                        else if (
                            result.outcome === ClaimOutcome.SETTLED && previous !== undefined && step.act !== "open"
                        ) {
                            openKeys.set(step.key, { ...previous, changed: Number(result.claim!.timeMilliseconds) });
                        }
                    }
                }),
                { seed: 1, numRuns: 400 },
            );
        });

        it("gives equal results after a snapshot is restored", () => {
            fc.assert(
                fc.property(steps, fc.nat(40), (sequence, cut) => {
                    const original = createRunner(createClaimsPart());
                    const copy = createRunner(createClaimsPart());
                    sequence.slice(0, cut).forEach(step => [original, copy].forEach(runner => runner.step(step)));
                    copy.harness.part.restoreSnapshot(original.harness.part.takeSnapshot());
                    for (const step of sequence.slice(cut)) {
                        const [expected, actual] = [original, copy].map(runner => runner.step(step));
                        expect(toBinary(ClaimResultSchema, actual!)).to.deep.equal(
                            toBinary(ClaimResultSchema, expected!),
                        );
                    }
                    expect(copy.harness.part.takeSnapshot()).to.deep.equal(original.harness.part.takeSnapshot());
                    expect(copy.harness.part.getSize()).to.deep.equal(original.harness.part.getSize());
                }),
                { seed: 2, numRuns: 300 },
            );
        });
    });
});
