import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    configurationLimits,
    ConfigurationQueryResult,
    createConfigurationPart,
    HistoryQueryResult,
} from "../../../src/control/configuration";
import { CommandSchema, ConfigurationOutcome, QueryKind } from "../../../src/protocol";
import { applyTestChange, TestOperation } from "./createTestCommand";

const { ACCEPTED, CONFLICT, INVALID } = ConfigurationOutcome;
const firstDigest = "a".repeat(64);

describe("createConfigurationPart", () => {
    /** Creates a part that has accepted one change for each of the given lists of operations. */
    function createPart(...changes: (readonly TestOperation[])[]): ReturnType<typeof createConfigurationPart> {
        const part = createConfigurationPart();
        changes.forEach((operations, index) => {
            const change = { changeId: `given-${index}`, expectedRevision: BigInt(index), operations };
            expect(applyTestChange(part, change).outcome).to.equal(ACCEPTED);
        });
        return part;
    }

    function getResult(part: ReturnType<typeof createConfigurationPart>, level: string): ConfigurationQueryResult {
        return part.query(QueryKind.CONFIGURATION, level) as ConfigurationQueryResult;
    }

    describe("getEvents", () => {
        function doTest(part: ReturnType<typeof createConfigurationPart>, expected: readonly string[]): void {
            const copy = createConfigurationPart();
            copy.restoreSnapshot(part.takeSnapshot());
            for (const { getEvents } of [part, copy]) {
                expect(getEvents().map(({ kind, subject, text }) => `${kind} ${subject} ${text}`))
                    .to.deep.equal(expected);
            }
            expect(copy.takeSnapshot()).to.deep.equal(part.takeSnapshot());
        }

        const first = "configurationChanged /regie revision 1 by anne changed 1 level";

        it("contain a change that was accepted", () => {
            doTest(createPart([{ level: "/regie", setting: "shareWeight", value: 1 }]), [first]);
        });

        it("contain a retried change once, and no rejected change", () => {
            const operations = [{ level: "/regie", setting: "shareWeight", value: 1 }];
            const part = createPart(operations);
            applyTestChange(part, { changeId: "given-0", expectedRevision: 0n, operations });
            applyTestChange(part, { changeId: "late", expectedRevision: 0n, operations });
            doTest(part, [first]);
        });

        it("are empty after restoring a snapshot of a version that retained no events", () => {
            const part = createPart([{ level: "/regie", setting: "shareWeight", value: 1 }]);
            const { events, ...older } = JSON.parse(Buffer.from(part.takeSnapshot()).toString()) as {
                events: unknown;
            };
            expect(events).to.have.length(1);
            part.restoreSnapshot(Buffer.from(JSON.stringify(older)));
            doTest(part, []);
        });
    });

    describe("apply", () => {
        it("ignores commands of other parts", () => {
            const command = create(CommandSchema, { command: { case: "openClaim", value: {} } });
            const context = { term: 1n, index: 1n, timeMilliseconds: 0 };
            expect(createConfigurationPart().apply(command, context)).to.equal(undefined);
        });

        it("accepts exactly one of two changes for one revision, and reports the current value to the other", () => {
            const part = createPart([{ level: "/regie", setting: "shareWeight", value: 1 }]);
            const first = applyTestChange(part, {
                changeId: "first",
                expectedRevision: 1n,
                author: "anne",
                operations: [{ level: "/regie", setting: "shareWeight", value: 2 }],
            });
            const second = applyTestChange(part, {
                changeId: "second",
                expectedRevision: 1n,
                author: "bran",
                operations: [{ level: "/regie", setting: "shareWeight", value: 3 }],
            });
            expect([first.outcome, second.outcome]).to.deep.equal([ACCEPTED, CONFLICT]);
            expect(second.revision).to.equal(2n);
            expect(second.problems).to.deep.equal([
                "revision 2 by anne changed /regie",
                "/regie: shareWeight: now 2",
            ]);
        });

        it("rejects a change that expects a future revision", () => {
            const change = {
                changeId: "x",
                expectedRevision: 7n,
                operations: [{ level: "/", setting: "", value: {} }],
            };
            expect(applyTestChange(createConfigurationPart(), change).outcome).to.equal(CONFLICT);
        });

        it("applies all operations of a change or none", () => {
            const part = createPart();
            const result = applyTestChange(part, {
                changeId: "x",
                expectedRevision: 0n,
                operations: [
                    { level: "/regie", setting: "shareWeight", value: 2 },
                    { level: "/corrib", setting: "shareWeight", value: -2 },
                ],
            });
            expect(result.outcome).to.equal(INVALID);
            expect(result.problems).to.deep.equal([
                "/corrib: shareWeight: found -2, expected a number above 0 of at most 1000000",
            ]);
            expect(part.getRevision()).to.equal(0n);
            expect(getResult(part, "/regie").exists).to.equal(false);
        });

        it("drops the oldest stored outcomes at the limit, and still applies no change twice", () => {
            const part = createPart();
            const operations = [{ level: "/", setting: "shareWeight", value: 2 }];
            const first = { changeId: "first", expectedRevision: 0n, operations };
            applyTestChange(part, first);
            for (let index = 0; index < configurationLimits.maximumStoredOutcomes; index++) {
                applyTestChange(part, { changeId: `c${index}`, expectedRevision: 0n, operations });
            }
            expect(applyTestChange(part, first).outcome).to.equal(CONFLICT);
            expect(part.getRevision()).to.equal(1n);
        });
    });

    describe("change ids", () => {
        const change = {
            changeId: "id-1",
            expectedRevision: 0n,
            operations: [{ level: "/regie", setting: "shareWeight", value: 2 }],
        };

        it("return the first outcome again, after later changes and after a restart from a snapshot", () => {
            const part = createPart();
            const first = applyTestChange(part, change);
            applyTestChange(part, { ...change, changeId: "id-2", expectedRevision: 1n });
            expect(applyTestChange(part, change)).to.deep.equal(first);
            const other = createConfigurationPart();
            other.restoreSnapshot(part.takeSnapshot());
            expect(applyTestChange(other, change)).to.deep.equal(first);
            expect(other.getRevision()).to.equal(2n);
        });

        it("return a conflict again", () => {
            const part = createPart([{ level: "/", setting: "shareWeight", value: 2 }]);
            const first = applyTestChange(part, change);
            expect(first.outcome).to.equal(CONFLICT);
            applyTestChange(part, { ...change, changeId: "id-2", expectedRevision: 1n });
            expect(applyTestChange(part, change)).to.deep.equal(first);
        });

        function doTest(other: Partial<typeof change> & { author?: string; }): void {
            const part = createPart();
            applyTestChange(part, change);
            const result = applyTestChange(part, { ...change, ...other });
            expect(result.outcome).to.equal(INVALID);
            expect(result.problems).to.deep.equal(["the id id-1 was used for another change"]);
            expect(part.getRevision()).to.equal(1n);
        }

        it("reject other operations", () =>
            doTest({ operations: [{ level: "/regie", setting: "shareWeight", value: 3 }] }));
        it("reject another expected revision", () => doTest({ expectedRevision: 1n }));
        it("reject another author", () => doTest({ author: "bran" }));
    });

    describe("invalid changes", () => {
        function doTest(operations: readonly TestOperation[], expectedProblem: string | RegExp): void {
            const part = createPart([
                { level: "/regie/counter/anne", setting: "keyDigests", value: [firstDigest] },
                { level: "/regie", setting: "models.large", value: { allowed: true, versions: ["1"] } },
            ]);
            const before = part.getSnapshot();
            const result = applyTestChange(part, { changeId: "x", expectedRevision: 1n, operations });
            expect(result.outcome).to.equal(INVALID);
            expect(result.problems[0]).to.match(
                typeof expectedProblem === "string" ? new RegExp(`^${expectedProblem}`) : expectedProblem,
            );
            expect(part.getSnapshot()).to.deep.equal(before);
        }

        it("without operations", () => doTest([], "a change must have 1 to"));
        it("with an invalid level path", () =>
            doTest([{ level: "regie", setting: "shareWeight", value: 1 }], "\"regie\" is no level's path"));
        it("with a path that is too deep", () =>
            doTest([{ level: "/a/b/c/d", setting: "shareWeight", value: 1 }], "\"/a/b/c/d\" is no level's path"));
        it("with an empty name in the path", () =>
            doTest([{ level: "/a//c", setting: "shareWeight", value: 1 }], "\"/a//c\" is no level's path"));
        it("with an unknown setting", () => {
            doTest([{ level: "/regie", setting: "shareWeigth", value: 1 }], /did you mean "shareWeight"\?$/);
        });
        it("with a wrong value", () => {
            doTest(
                [{ level: "/regie", setting: "limits.tokensPerMinute", value: "1" }],
                "/regie: limits.tokensPerMinute: found \"1\"",
            );
        });
        it("inside a value that is not an object", () => {
            doTest([{ level: "/regie", setting: "models.large.versions.x", value: 1 }], /stands inside a value/);
        });
        it("with a dangerous name", () =>
            doTest([{ level: "/regie", setting: "__proto__.x", value: 1 }], /is no setting's name/));
        it("with a dangerous name in a value", () => {
            const value = JSON.parse("{\"__proto__\":{\"allowed\":true}}") as object;
            doTest([{ level: "/regie", setting: "", value }], /__proto__: found an unknown key/);
        });
        it("that unset a required property", () => {
            doTest(
                [{ level: "/regie", setting: "models.large.allowed" }],
                "/regie: models.large.allowed: found nothing, expected true or false",
            );
        });
        it("that unset a setting of a level that does not exist", () =>
            doTest([{ level: "/x", setting: "priority" }], "/x: there is no such level"));
        it("that remove a level that does not exist", () =>
            doTest([{ level: "/x", removeLevel: true }], "/x: there is no such level"));
        it("that remove the root", () => doTest([{ level: "/", removeLevel: true }], "/: the root can't be removed"));
        it("with rollouts below the root", () => {
            doTest(
                [{ level: "/regie", setting: "rollouts.large", value: { version: "2" } }],
                "/regie: rollouts: found an unknown key",
            );
        });
        it("with keys above subscribers", () => {
            doTest(
                [{ level: "/regie", setting: "keyDigests", value: [firstDigest] }],
                "/regie: keyDigests: found an unknown key",
            );
        });
        it("that give a key to a second subscriber", () => {
            doTest(
                [{ level: "/regie/counter/bran", setting: "keyDigests", value: [firstDigest] }],
                "/regie/counter/bran: keyDigests: one of the keys already names /regie/counter/anne",
            );
        });
        it("that give one key to two subscribers at once", () => {
            const value = ["b".repeat(64)];
            doTest([
                { level: "/regie/counter/bran", setting: "keyDigests", value },
                { level: "/regie/counter/carl", setting: "keyDigests", value },
            ], "/regie/counter/carl: keyDigests: one of the keys already names /regie/counter/bran");
        });
        it("with a level that is too large", () => {
            const versions = [...Array(60).keys()].map(index => `${"v".repeat(120)}${index}`);
            const models = Object.fromEntries(
                [...Array(10).keys()].map(index => [`m${index}`, { allowed: true, versions }]),
            );
            doTest([{ level: "/regie", setting: "models", value: models }], /the most is 65536$/);
        });
    });

    it("moves a key from one subscriber to another in one change", () => {
        const part = createPart(
            [{ level: "/a/b/c", setting: "keyDigests", value: [firstDigest] }],
            [
                { level: "/a/b/d", setting: "keyDigests", value: [firstDigest] },
                { level: "/a/b/c", setting: "keyDigests" },
            ],
        );
        const result = applyTestChange(part, {
            changeId: "x",
            expectedRevision: 2n,
            operations: [{ level: "/a/b/c", setting: "keyDigests", value: [firstDigest] }],
        });
        expect(result.problems).to.deep.equal(["/a/b/c: keyDigests: one of the keys already names /a/b/d"]);
    });

    it("removes a level and its descendants, and no other level", () => {
        const part = createPart(
            ["/a/b/c", "/a-b", "/ab/c"].map(level => ({ level, setting: "", value: {} })),
            [{ level: "/a", removeLevel: true }],
        );
        expect(Object.keys(part.getSnapshot().levels).sort()).to.deep.equal(["/", "/a-b", "/ab", "/ab/c"]);
    });

    it("applies a change identically at a member that restarted from a snapshot and at one that kept running", () => {
        const part = createPart(
            [{ level: "/b/t/s", setting: "", value: {} }],
            [{ level: "/b/t", setting: "shareWeight", value: 1 }],
        );
        const restarted = createConfigurationPart();
        restarted.restoreSnapshot(part.takeSnapshot());
        const change = { changeId: "x", expectedRevision: 2n, operations: [{ level: "/b/t", removeLevel: true }] };
        [part, restarted].forEach(member => applyTestChange(member, change));
        expect(Buffer.from(part.takeSnapshot()).equals(restarted.takeSnapshot())).to.equal(true);
    });

    it("accepts quoted names that contain dots", () => {
        const part = createPart([{ level: "/a", setting: "models.\"small-1.5\".allowed", value: true }]);
        expect(getResult(part, "/a").own).to.deep.equal({ models: { "small-1.5": { allowed: true } } });
        expect(getResult(part, "/a").origins).to.deep.equal({ "models.\"small-1.5\"": "/a" });
    });

    describe("history", () => {
        const part = createPart(
            [{ level: "/a", setting: "shareWeight", value: 1 }],
            [{ level: "/b", setting: "priority", value: "deferred" }],
            [{ level: "/a", setting: "shareWeight", value: 2 }, { level: "/b", removeLevel: true }],
        );

        function doTest(argument: object, expected: unknown): void {
            const result = part.query(QueryKind.HISTORY, JSON.stringify(argument)) as HistoryQueryResult;
            expect(result.kind === "page" ? result.records.map(record => record.revision) : result).to.deep.equal(
                expected,
            );
        }

        it("is returned newest first", () => doTest({ kind: "page" }, [3, 2, 1]));
        it("is returned in pages", () => doTest({ kind: "page", before: 3, limit: 1 }, [2]));
        it("is returned for a subtree", () => doTest({ kind: "page", level: "/b" }, [3, 2]));
        it("returns differences between revisions", () => {
            doTest({ kind: "difference", from: 1, to: 3 }, {
                kind: "difference",
                from: 1,
                to: 3,
                differences: [{ level: "/a", setting: "shareWeight", before: 1, after: 2 }],
            });
        });
        it("returns reverse differences", () => {
            doTest({ kind: "difference", from: 2, to: 1 }, {
                kind: "difference",
                from: 2,
                to: 1,
                differences: [{ level: "/b", setting: "priority", before: "deferred", after: undefined }],
            });
        });
        it("reports the revisions that it covers", () => {
            doTest({ kind: "difference", from: 1, to: 9 }, { kind: "notKept", revision: 3, oldestRevision: 0 });
        });
        it("contains author, time and id", () => {
            const result = part.query(QueryKind.HISTORY, "") as Extract<HistoryQueryResult, { kind: "page"; }>;
            const { author, timeMilliseconds, changeId } = result.records[0]!;
            expect([author, timeMilliseconds, changeId]).to.deep.equal(["anne", 1_001, "given-2"]);
        });
    });

    describe("getDeltasSince", () => {
        const part = createPart(
            [{ level: "/a", setting: "shareWeight", value: 1 }],
            [{ level: "/a", setting: "shareWeight", value: 2 }],
        );

        function doTest(revision: bigint, expected: readonly bigint[] | undefined): void {
            expect(part.getDeltasSince(revision)?.map(delta => delta.revision)).to.deep.equal(expected);
        }

        it("returns all deltas since revision 0", () => doTest(0n, [1n, 2n]));
        it("returns the deltas after a revision", () => doTest(1n, [2n]));
        it("returns no deltas for the newest revision", () => doTest(2n, []));
        it("requires a snapshot for a future revision", () => doTest(3n, undefined));
        it("requires a snapshot for a revision that the history no longer covers", () => {
            const long = createConfigurationPart();
            for (let index = 0; index <= configurationLimits.maximumHistoryEntries; index++) {
                const operations = [{ level: "/", setting: "shareWeight", value: index + 1 }];
                applyTestChange(long, { changeId: `c${index}`, expectedRevision: BigInt(index), operations });
            }
            expect(long.getDeltasSince(0n)).to.equal(undefined);
            expect(long.getDeltasSince(1n)).to.have.length(configurationLimits.maximumHistoryEntries);
        });
    });

    it("notifies listeners of each revision until they are removed", () => {
        const part = createPart();
        const revisions: bigint[] = [];
        const remove = part.addListener(revision => revisions.push(revision));
        const operations = [{ level: "/", setting: "shareWeight", value: 1 }];
        applyTestChange(part, { changeId: "1", expectedRevision: 0n, operations });
        applyTestChange(part, { changeId: "2", expectedRevision: 0n, operations });
        part.restoreSnapshot(part.takeSnapshot());
        remove();
        applyTestChange(part, { changeId: "3", expectedRevision: 1n, operations });
        expect(revisions).to.deep.equal([1n, 1n]);
    });
});
