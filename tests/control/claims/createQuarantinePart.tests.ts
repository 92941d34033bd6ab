import { create, MessageInitShape } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { createQuarantinePart, defaultQuarantineLimits, QuarantinePart } from "../../../src/control/claims";
import { CommandSchema, QuarantineResult, QueryKind, TrialVerdict } from "../../../src/protocol";
import { createRandomSource } from "../../../src/runtime";

type CommandShape = MessageInitShape<typeof CommandSchema>["command"];

describe("createQuarantinePart", () => {
    const { initialQuarantineMilliseconds, suspicionRetentionMilliseconds, convictionRetentionMilliseconds } =
        defaultQuarantineLimits;
    const trialMilliseconds = 1_000;

    function toFingerprint(name: string): Uint8Array {
        return new TextEncoder().encode(name);
    }

    function createHarness(part: QuarantinePart = createQuarantinePart()) {
        let index = 0n;
        let crashNumber = 0;
        let timeMilliseconds = 0;
        return { part, crash, request, end, release, pass, getSuspects };

        function run(command: CommandShape): QuarantineResult {
            const message = create(CommandSchema, { command });
            return part.apply(message, { term: 1n, index: ++index, timeMilliseconds })!.value as QuarantineResult;
        }

        function crash(names: string, ranAlone = false, incarnation = `${++crashNumber}`): QuarantineResult {
            const fingerprints = [...names].map(toFingerprint);
            const value = { companion: "companion", backendIncarnation: incarnation, fingerprints, ranAlone };
            return run({ case: "crashReport", value });
        }

        function request(name: string, requestId = "request"): TrialVerdict {
            const lifetimeMilliseconds = trialMilliseconds;
            const value = { fingerprint: toFingerprint(name), requestId, lifetimeMilliseconds };
            return run({ case: "requestTrial", value }).verdict;
        }

        function end(name: string, completed: boolean, requestId = "request"): void {
            run({ case: "endTrial", value: { fingerprint: toFingerprint(name), requestId, completed } });
        }

        function release(name: string): void {
            run({ case: "releaseQuarantine", value: { fingerprint: toFingerprint(name), author: "operator" } });
        }

        function pass(milliseconds: number): void {
            timeMilliseconds += milliseconds;
        }

        function getSuspects(): string {
            const suspects = part.getRecords().filter(record => record.suspect);
            return suspects.map(record => new TextDecoder().decode(record.fingerprint)).sort().join("");
        }
    }

    type Harness = ReturnType<typeof createHarness>;

    describe("getEvents", () => {
        function doTest(act: (harness: Harness) => void, expected: readonly string[]) {
            const harness = createHarness();
            act(harness);
            const copy = createQuarantinePart();
            copy.restoreSnapshot(harness.part.takeSnapshot());
            for (const part of [harness.part, copy]) {
                expect(part.getEvents().map(({ index, kind, text }) => `${index} ${kind} ${text}`))
                    .to.deep.equal(expected);
            }
            expect(copy.getEvents()).to.deep.equal(harness.part.getEvents());
        }

        const untilText = new Date(initialQuarantineMilliseconds).toISOString();
        const quarantined = `1 requestQuarantined quarantined until ${untilText}, for the 1. time`;

        it("contain a quarantine", () => doTest(harness => harness.crash("a", true), [quarantined]));
        it("contain a release and its author", () =>
            doTest(harness => {
                harness.crash("a", true);
                harness.release("a");
            }, [quarantined, "2 quarantineReleased released by operator"]));
        it("contain no suspects", () => doTest(harness => harness.crash("ab"), []));
        it("contain no release of a request without a record", () => doTest(harness => harness.release("a"), []));
        it("contain a crash once that is reported twice", () =>
            doTest(harness => {
                harness.crash("a", true, "1");
                harness.crash("a", true, "1");
            }, [quarantined]));
    });

    describe("requestTrial", () => {
        function doTest(before: (harness: Harness) => void, expected: TrialVerdict) {
            const harness = createHarness();
            before(harness);
            expect(harness.request("a")).to.equal(expected);
        }

        it("lets a request without a record run", () => doTest(() => {}, TrialVerdict.RUN));
        it("lets a request run that was in flight at one crash with many others", () =>
            doTest(harness => harness.crash("abcdefgh"), TrialVerdict.RUN));
        it("gives a suspect a trial alone", () => doTest(harness => harness.crash("ab"), TrialVerdict.RUN_ALONE));
        it("gives the same request its trial again, since the response may have been lost", () =>
            doTest(harness => {
                harness.crash("ab");
                harness.request("a");
            }, TrialVerdict.RUN_ALONE));
        it("lets a repeated request wait while the trial is running", () =>
            doTest(harness => {
                harness.crash("ab");
                harness.request("a", "elsewhere");
            }, TrialVerdict.WAIT));
        it("gives another trial when one ended without completing", () =>
            doTest(harness => {
                harness.crash("ab");
                harness.request("a", "elsewhere");
                harness.end("a", false, "elsewhere");
            }, TrialVerdict.RUN_ALONE));
        it("gives another trial when the first expired without a reported end", () =>
            doTest(harness => {
                harness.crash("ab");
                harness.request("a", "elsewhere");
                harness.pass(trialMilliseconds + 1);
            }, TrialVerdict.RUN_ALONE));
        it("quarantines a request whose trials expire repeatedly without a reported end", () =>
            doTest(harness => {
                harness.crash("ab");
                for (const requestId of ["first", "second"]) {
                    harness.request("a", requestId);
                    harness.pass(trialMilliseconds + 1);
                }
            }, TrialVerdict.QUARANTINED));
        it("quarantines a request that crashed an engine while it ran alone", () =>
            doTest(harness => {
                harness.crash("a");
                harness.request("a");
                harness.crash("a", true);
            }, TrialVerdict.QUARANTINED));
        it("gives another trial once the quarantine has expired", () =>
            doTest(harness => {
                harness.crash("a", true);
                harness.pass(initialQuarantineMilliseconds);
            }, TrialVerdict.RUN_ALONE));
        it("discards a conviction after its retention", () =>
            doTest(harness => {
                harness.crash("a", true);
                harness.pass(initialQuarantineMilliseconds + convictionRetentionMilliseconds);
            }, TrialVerdict.RUN));
        it("discards a suspicion after its retention", () =>
            doTest(harness => {
                harness.crash("ab");
                harness.pass(suspicionRetentionMilliseconds + 1);
            }, TrialVerdict.RUN));
        it("lets a released request run", () =>
            doTest(harness => {
                harness.crash("a", true);
                harness.release("a");
            }, TrialVerdict.RUN));
        it("doubles the quarantine of a request that crashes an engine again", () =>
            doTest(harness => {
                harness.crash("a", true);
                harness.pass(initialQuarantineMilliseconds);
                harness.crash("a", true);
                harness.pass(initialQuarantineMilliseconds);
            }, TrialVerdict.QUARANTINED));
    });

    describe("suspects", () => {
        function doTest(act: (harness: Harness) => void, expected: string) {
            const harness = createHarness();
            act(harness);
            expect(harness.getSuspects()).to.equal(expected);
        }

        it("are all requests in flight at a crash with few of them", () =>
            doTest(harness => harness.crash("ab"), "ab"));
        it("are the requests in flight at two crashes with many of them", () =>
            doTest(harness => {
                harness.crash("abcdefg");
                harness.crash("ahijklm");
            }, "a"));
        it("are narrowed down by trials where two were in flight at both crashes", () =>
            doTest(harness => {
                harness.crash("abcdefg");
                harness.crash("abhijkl");
                harness.request("b");
                harness.end("b", true);
            }, "a"));
        it("are the few candidates left when the others of a crash have completed", () =>
            doTest(harness => {
                harness.crash("abcdef");
                harness.end("f", true);
                harness.end("e", true);
            }, "abcd"));
        it("are cleared when another candidate of the same crash is convicted", () =>
            doTest(harness => {
                harness.crash("ab");
                harness.crash("a", true);
            }, "a"));
        it("don't include requests in flight at a crash that a quarantined request explains", () =>
            doTest(harness => {
                harness.crash("a", true);
                harness.crash("abc");
            }, "a"));
        it("are not counted twice for a crash reported twice", () =>
            doTest(harness => {
                harness.crash("abcdefg", false, "1");
                harness.crash("abcdefg", false, "1");
            }, ""));
    });

    it("lists the records of requests", () => {
        const harness = createHarness();
        harness.crash("a", true);
        expect(harness.part.query(QueryKind.QUARANTINE, "")).to.deep.equal([{
            fingerprint: "61",
            crashes: 1,
            isSuspect: true,
            isQuarantined: true,
            expiresMilliseconds: initialQuarantineMilliseconds,
        }]);
    });

    /** Repeats requests, some of which crash engines, with several in flight, as entry processes and sidecars do. */
    function runWorkload(seed: number, crashing: string, width: number) {
        const random = createRandomSource(seed);
        const names = "abcdefghijklmnopqrstuvwxyz";
        const harness = createHarness();
        const crashCounts = new Map<string, number>();
        const wronglyQuarantined = new Set<string>();
        for (let round = 0; round < 400; round++) {
            const batch = new Set<string>();
            for (let place = 0; place < width; place++) {
                const name = names[random.getInteger(names.length)]!;
                const verdict = harness.request(name, `${round}-${place}`);
                if (verdict === TrialVerdict.RUN_ALONE) {
                    runBatch([name], true, `${round}-${place}`);
                }
                else if (verdict === TrialVerdict.RUN) {
                    batch.add(name);
                }
                else if (!crashing.includes(name)) {
                    wronglyQuarantined.add(name);
                }
            }
            runBatch([...batch], false, "");
        }
        return { crashCounts, wronglyQuarantined };

        function runBatch(batch: readonly string[], isAlone: boolean, requestId: string): void {
            const crashed = batch.filter(name => crashing.includes(name));
            if (crashed.length === 0) {
                batch.forEach(name => harness.end(name, true, requestId));
                return;
            }
            harness.crash(batch.join(""), isAlone);
            crashed.forEach(name => crashCounts.set(name, (crashCounts.get(name) ?? 0) + 1));
        }
    }

    it("convicts each crashing request after few crashes and no other, in any mix", () => {
        const crashingNames = fc.uniqueArray(fc.constantFrom(..."abcdefghij"), { maxLength: 3 });
        fc.assert(
            fc.property(fc.nat(), crashingNames, fc.integer({ min: 1, max: 16 }), (seed, crashing, width) => {
                const { crashCounts, wronglyQuarantined } = runWorkload(seed, crashing.join(""), width);
                expect([...wronglyQuarantined]).to.deep.equal([]);
                const crashes = [...crashCounts.values()].reduce((sum, count) => sum + count, 0);
                expect(crashes).to.be.at.most(4 * crashing.length);
            }),
            { seed: 1, numRuns: 100 },
        );
    });

    it("gives equal results after a snapshot is restored", () => {
        const steps = fc.array(
            fc.record({
                act: fc.constantFrom("crash", "alone", "request", "completed", "ended", "release", "pass"),
                names: fc.uniqueArray(fc.constantFrom(..."abcdefg"), { minLength: 1 }),
            }),
            { maxLength: 30 },
        );

        function step(harness: Harness, { act, names }: { act: string; names: string[]; }): void {
            const acts: Record<string, () => unknown> = {
                crash: () => harness.crash(names.join("")),
                alone: () => harness.crash(names[0]!, true),
                request: () => harness.request(names[0]!, names[1]),
                completed: () => harness.end(names[0]!, true),
                ended: () => harness.end(names[0]!, false),
                release: () => harness.release(names[0]!),
                pass: () => harness.pass(names.length * 100_000),
            };
            acts[act]!();
        }

        fc.assert(
            fc.property(steps, fc.nat(30), (sequence, cut) => {
                const original = createHarness();
                const copy = createHarness();
                sequence.slice(0, cut).forEach(entry => [original, copy].forEach(harness => step(harness, entry)));
                copy.part.restoreSnapshot(original.part.takeSnapshot());
                sequence.slice(cut).forEach(entry => [original, copy].forEach(harness => step(harness, entry)));
                expect(copy.part.query(QueryKind.QUARANTINE, "")).to.deep.equal(
                    original.part.query(QueryKind.QUARANTINE, ""),
                );
                expect(copy.part.takeSnapshot()).to.deep.equal(original.part.takeSnapshot());
            }),
            { seed: 3, numRuns: 200 },
        );
    });
});
