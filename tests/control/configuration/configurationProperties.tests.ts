import { expect } from "chai";
import fc from "fast-check";
import {
    ConfigurationPart,
    ConfigurationQueryResult,
    createConfigurationFile,
    createConfigurationPart,
    createConfigurationView,
    LevelSettings,
    parseConfigurationFile,
    planConfiguration,
} from "../../../src/control/configuration";
import {
    ConfigurationChangeResult,
    ConfigurationDelta,
    ConfigurationOutcome,
    ConfigurationSnapshot,
    QueryKind,
} from "../../../src/protocol";
import { applyTestChange, createTestCommand, TestChange, TestOperation } from "./createTestCommand";
import {
    applyNaively,
    getNaiveEffective,
    getNaiveMinimumLimits,
    NaiveTree,
    operationArbitrary,
    propertyRuns,
    toLevelSettings,
} from "./naiveConfiguration";

const { ACCEPTED, CONFLICT, INVALID } = ConfigurationOutcome;
const operationsArbitrary = fc.array(operationArbitrary, { minLength: 1, maxLength: 4 });
const runs = { seed: 4, numRuns: propertyRuns };

describe("configuration properties", () => {
    let changeCount = 0;

    /** Gets the own settings of all levels. */
    function getLevels(part: ConfigurationPart): Record<string, LevelSettings> {
        const result = part.query(QueryKind.CONFIGURATION, JSON.stringify({ level: "/", isSubtree: true }));
        return { ...(result as ConfigurationQueryResult).levels };
    }

    /** Applies a change that expects the newest revision. */
    function applyToNewestRevision(
        part: ConfigurationPart,
        operations: readonly TestOperation[],
    ): ConfigurationChangeResult {
        changeCount++;
        const changeId = `now-${changeCount}`;
        return applyTestChange(part, { changeId, expectedRevision: part.getRevision(), operations });
    }

    /** Applies changes to a new part and to the naive model; both must reject the same ones as invalid. */
    function createPart(changes: readonly (readonly TestOperation[])[]): { part: ConfigurationPart; tree: NaiveTree; } {
        const part = createConfigurationPart();
        let tree: NaiveTree = { "/": {} };
        changes.forEach((operations, index) => {
            const changed = applyNaively(tree, operations);
            const change = { changeId: `given-${index}`, expectedRevision: part.getRevision(), operations };
            expect(applyTestChange(part, change).outcome).to.equal(changed === undefined ? INVALID : ACCEPTED);
            tree = changed ?? tree;
        });
        return { part, tree };
    }

    it("accepts exactly one, the first valid, of any number of changes that expect the same revision", () => {
        fc.assert(
            fc.property(fc.array(operationsArbitrary, { minLength: 2, maxLength: 6 }), competing => {
                const part = createConfigurationPart();
                const outcomes = competing.map((operations, index) => {
                    return applyTestChange(part, { changeId: `r${index}`, expectedRevision: 0n, operations }).outcome;
                });
                const firstValid = competing.findIndex(operations =>
                    applyNaively({ "/": {} }, operations) !== undefined
                );
                const expected = [...competing.keys()].map(index => {
                    if (firstValid !== -1 && index > firstValid) {
                        return CONFLICT;
                    }
                    return index === firstValid ? ACCEPTED : INVALID;
                });
                expect(outcomes).to.deep.equal(expected);
                expect(part.getRevision()).to.equal(firstValid === -1 ? 0n : 1n);
            }),
            runs,
        );
    });

    it("matches the naive model after retries, outdated revisions and restarts, at each of two members", () => {
        const step = fc.record({
            operations: operationsArbitrary,
            age: fc.constantFrom(0, 0, 0, 1, 2),
            retryOf: fc.option(fc.nat(30), { nil: undefined }),
            restarts: fc.constantFrom(true, false, false),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 25 }), steps => {
                let member = createConfigurationPart();
                const otherMember = createConfigurationPart();
                const sent: { change: TestChange; result: ConfigurationChangeResult; }[] = [];
                let tree: NaiveTree = { "/": {} };
                let revision = 0n;
                steps.forEach(({ operations, age, retryOf, restarts }, index) => {
                    const retried = retryOf === undefined ? undefined : sent[retryOf];
                    const expectedRevision = revision < age ? 0n : revision - BigInt(age);
                    const change = retried?.change ?? { changeId: `c${index}`, expectedRevision, operations };
                    const result = applyTestChange(member, change, BigInt(index));
                    expect(applyTestChange(otherMember, change, BigInt(index))).to.deep.equal(result);
                    if (retried !== undefined) {
                        expect(result).to.deep.equal(retried.result);
                    }
                    else if (expectedRevision !== revision) {
                        expect([result.outcome, result.revision]).to.deep.equal([CONFLICT, revision]);
                    }
                    else {
                        const changed = applyNaively(tree, operations);
                        revision += changed === undefined ? 0n : 1n;
                        tree = changed ?? tree;
                        const outcome = changed === undefined ? INVALID : ACCEPTED;
                        expect([result.outcome, result.revision]).to.deep.equal([outcome, revision]);
                    }
                    sent.push({ change, result });
                    if (restarts) {
                        const snapshot = member.takeSnapshot();
                        member = createConfigurationPart();
                        member.restoreSnapshot(snapshot);
                    }
                });
                expect(member.getRevision()).to.equal(revision);
                const expectedLevels = Object.entries(tree).map(([path, units]) => [path, toLevelSettings(units)]);
                expect(getLevels(member)).to.deep.equal(Object.fromEntries(expectedLevels));
                expect(Buffer.from(member.takeSnapshot()).equals(otherMember.takeSnapshot())).to.equal(true);
            }),
            runs,
        );
    });

    it("inherits settings like the naive model", () => {
        fc.assert(
            fc.property(fc.array(operationsArbitrary, { maxLength: 8 }), changes => {
                const { part, tree } = createPart(changes);
                const view = createConfigurationView();
                view.applySnapshot(part.getSnapshot());
                for (const level of [...Object.keys(tree), "/a/t/s", "/unknown/level"]) {
                    const effective = view.getEffectiveSettings(level);
                    const expected = getNaiveEffective(tree, level);
                    const units = Object.entries(expected);
                    const values = Object.fromEntries(units.map(([unit, { value }]) => [unit, value]));
                    const origins = Object.fromEntries(units.map(([unit, { origin }]) => [unit, origin]));
                    expect(effective.values).to.deep.equal(toLevelSettings(values));
                    expect(effective.origins).to.deep.equal(origins);
                    const minimum: Record<string, number> = {};
                    effective.limitsByLevel.flatMap(({ limits }) => Object.entries(limits)).forEach(([name, limit]) => {
                        minimum[name] = Math.min(minimum[name] ?? Infinity, limit as number);
                    });
                    expect(minimum).to.deep.equal(getNaiveMinimumLimits(tree, level));
                }
            }),
            runs,
        );
    });

    it("never decreases a view's revision, and shows the source's tree at each, however updates arrive", () => {
        const delivery = fc.record({ isSnapshot: fc.boolean(), message: fc.nat(40) });
        const schedules = fc.record({
            changes: fc.array(operationsArbitrary, { maxLength: 12 }),
            deliveries: fc.array(delivery, { maxLength: 40 }),
        });
        fc.assert(
            fc.property(schedules, ({ changes, deliveries }) => {
                const part = createConfigurationPart();
                const snapshots: ConfigurationSnapshot[] = [part.getSnapshot()];
                changes.forEach(operations => {
                    if (applyToNewestRevision(part, operations).outcome === ACCEPTED) {
                        snapshots.push(part.getSnapshot());
                    }
                });
                const deltas: ConfigurationDelta[] = part.getDeltasSince(0n)!;
                const view = createConfigurationView();
                const last = { isSnapshot: true, message: snapshots.length - 1 };
                for (const { isSnapshot, message } of [...deliveries, last]) {
                    const before = view.getRevision();
                    const outcome = deliver(isSnapshot, message);
                    expect(view.getRevision() >= before).to.equal(true);
                    expect(outcome?.revision ?? before).to.equal(view.getRevision());
                    const expectedSnapshot = snapshots[Number(view.getRevision())]!;
                    expect(view.getLevelPaths()).to.deep.equal(
                        Object.keys(expectedSnapshot.levels).sort(compareAsPaths),
                    );
                    Object.keys(expectedSnapshot.levels).forEach(level => {
                        const source = createConfigurationView();
                        source.applySnapshot(expectedSnapshot);
                        expect(view.getEffectiveSettings(level)).to.deep.equal(source.getEffectiveSettings(level));
                    });
                }
                expect(view.getRevision()).to.equal(part.getRevision());

                function deliver(isSnapshot: boolean, message: number): { revision: bigint; } | undefined {
                    const delta = deltas[message];
                    const snapshot = snapshots[message];
                    if (isSnapshot) {
                        return snapshot && view.applySnapshot(snapshot);
                    }
                    return delta && view.applyDelta(delta);
                }
            }),
            { ...runs, numRuns: Math.ceil(propertyRuns / 2) },
        );
    });

    it("returns the configuration file that was applied, and plans no further operations", () => {
        const files = fc.record({
            before: fc.array(operationsArbitrary, { maxLength: 4 }),
            desired: fc.array(operationsArbitrary, { maxLength: 4 }),
        });
        fc.assert(
            fc.property(files, ({ before, desired }) => {
                const desiredLevels = new Map(Object.entries(getLevels(createPart(desired).part)));
                const file = createConfigurationFile(desiredLevels, "/");
                const parsed = parseConfigurationFile(JSON.parse(JSON.stringify(file)));
                const levels = parsed.kind === "read" ? parsed.levels : new Map<string, LevelSettings>();
                const { part } = createPart(before);
                const operations = planConfiguration(new Map(Object.entries(getLevels(part))), levels);
                const command = createTestCommand({
                    changeId: "x",
                    expectedRevision: part.getRevision(),
                    operations: [],
                });
                if (operations.length > 0 && command.command.case === "configuration") {
                    command.command.value.operations = operations;
                    part.apply(command, { term: 1n, index: 1n, timeMilliseconds: 0 });
                }
                const currentLevels = new Map(Object.entries(getLevels(part)));
                expect(createConfigurationFile(currentLevels, "/")).to.deep.equal(file);
                expect(planConfiguration(currentLevels, levels)).to.deep.equal([]);
            }),
            runs,
        );
    });

    it("never throws and changes nothing on invalid input", () => {
        const text = fc.oneof(
            fc.string(),
            fc.constantFrom("", "/", "/a", "models", "limits.requestsPerSecond", "models.x"),
        );
        const operation = fc.record({
            level: text,
            setting: text,
            value: fc.option(fc.jsonValue(), { nil: undefined }),
        });
        fc.assert(
            fc.property(fc.array(operation, { maxLength: 3 }), fc.string(), (operations, changeId) => {
                const part = createConfigurationPart();
                const before = part.getSnapshot();
                const result = applyTestChange(part, { changeId, expectedRevision: 0n, operations });
                if (result.outcome !== ACCEPTED) {
                    expect(part.getSnapshot()).to.equal(before);
                    expect(result.problems).to.not.have.length(0);
                }
                const other = createConfigurationPart();
                other.restoreSnapshot(part.takeSnapshot());
                expect(getLevels(other)).to.deep.equal(getLevels(part));
            }),
            { ...runs, numRuns: propertyRuns * 2 },
        );
    });

    it("never throws on texts that are not JSON, or on deeply nested JSON", () => {
        const nested = [60_000, 1_000_000].map(depth => `${"[".repeat(depth)}${"]".repeat(depth)}`);
        const nestedInside = nested.map(text => `{"models":${text}}`);
        const texts = fc.oneof(fc.string(), fc.json(), fc.constantFrom(...nested, ...nestedInside, "1e999", "nul"));
        const settings = fc.constantFrom("", "models", "services.x", "keyDigests", "shareWeight");
        fc.assert(
            fc.property(texts, settings, (value, setting) => {
                const part = createConfigurationPart();
                const change = { changeId: "x", expectedRevision: 0n, operations: [{ level: "/a/b/c", setting }] };
                const command = createTestCommand(change);
                if (command.command.case === "configuration") {
                    command.command.value.operations[0]!.value = value;
                }
                part.apply(command, { term: 1n, index: 1n, timeMilliseconds: 0 });
                expect(part.getRevision() <= 1n).to.equal(true);
            }),
            runs,
        );
    });
});

/** Orders paths so that a level comes directly before its descendants. */
function compareAsPaths(first: string, second: string): number {
    return first.replaceAll("/", "\t") < second.replaceAll("/", "\t") ? -1 : 1;
}
