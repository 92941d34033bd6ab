/*
 * Tests that a store gets the same changes as a model that looks at all facts each time.
 */
import { expect } from "chai";
import fc from "fast-check";
import { FactKind } from "../../src/facts";
import { createManualClock } from "../support/createManualClock";
import { createTestFactKind } from "./createTestFactKind";
import { createTestFactStore } from "./createTestFacts";

const kinds = [
    createTestFactKind({ name: "short", lifetimeMilliseconds: 300, maximumCount: 4 }),
    createTestFactKind({ name: "long", lifetimeMilliseconds: 70_000 }),
    createTestFactKind({ name: "endless", lifetimeMilliseconds: Infinity, maximumCount: 6 }),
];
const withdrawnLifetimeMilliseconds = 60_000;

/** A fact as the model holds it. */
interface ModelFact {
    kind: FactKind<string>;
    key: string;
    reporter: string;
    value: string | undefined;
    expiryMilliseconds: number;
    position: number;
}

/** A change that the model and the store get; the other store is merged after its change. */
const change = fc.record({
    isOther: fc.boolean(),
    kind: fc.constantFrom(...kinds),
    key: fc.constantFrom(..."abcdefgh"),
    isWithdrawal: fc.boolean(),
    ageMilliseconds: fc.constantFrom(0, 0, 100, 299, 400),
    waitMilliseconds: fc.constantFrom(0, 0, 0, 1, 150, 300, 61_000),
    after: fc.nat(40),
});

describe("createFactStore", () => {
    it("gets the changes after any position whatever was replaced, withdrawn, dropped or expired before", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(change, { maxLength: 220 }), async changes => {
                const clock = createManualClock();
                const store = createTestFactStore(clock, "own", kinds);
                const other = createTestFactStore(clock, "other", kinds);
                let model: ModelFact[] = [];
                let position = 0;
                store.addListener(() => position += 1);

                for (const { isOther, kind, key, isWithdrawal, ageMilliseconds, waitMilliseconds, after } of changes) {
                    const formerPosition = position;
                    const formerOtherPosition = other.getPosition();
                    const changed = isOther ? other : store;
                    if (isWithdrawal) {
                        changed.withdraw(kind, key);
                    }
                    else {
                        changed.publish(kind, key, `${position}`, ageMilliseconds);
                    }
                    store.merge(other.getChanges(formerOtherPosition, () => true).facts, "store");
                    if (position > formerPosition) {
                        const reporter = isOther ? "other" : "own";
                        const lifetimeMilliseconds = isWithdrawal
                            ? Math.min(kind.lifetimeMilliseconds, withdrawnLifetimeMilliseconds)
                            : kind.lifetimeMilliseconds;
                        const observedMilliseconds = clock.getMonotonicMilliseconds()
                            - (isWithdrawal ? 0 : ageMilliseconds);
                        addToModel({
                            kind,
                            key,
                            reporter,
                            value: isWithdrawal ? undefined : `${formerPosition}`,
                            expiryMilliseconds: observedMilliseconds + lifetimeMilliseconds,
                            position,
                        });
                    }
                    check(after);
                    await clock.advance(waitMilliseconds);
                    check(after);
                }

                function addToModel(fact: ModelFact): void {
                    model = [...model.filter(known => !isSame(known, fact)), fact];
                    removeExpired();
                    const ofKind = model.filter(known => known.kind === fact.kind);
                    const dropped = ofKind.slice(0, Math.max(0, ofKind.length - fact.kind.maximumCount));
                    model = model.filter(known => !dropped.includes(known));
                }

                function removeExpired(): void {
                    model = model.filter(({ expiryMilliseconds }) =>
                        clock.getMonotonicMilliseconds() < expiryMilliseconds
                    );
                }

                function check(after: number): void {
                    removeExpired();
                    const isWanted = ({ key }: { key: string; }) => key !== "a";
                    const expected = model.filter(fact => fact.position > after && isWanted(fact));
                    const { facts, position: reached } = store.getChanges(after, isWanted);
                    expect(facts.map(fact => [fact.kind, fact.key, fact.reporter, fact.isWithdrawn, getText(fact)])).to
                        .deep.equal(
                            expected.map((
                                { kind, key, reporter, value },
                            ) => [kind.name, key, reporter, value === undefined, value ?? ""]),
                        );
                    expect(reached).to.equal(position);
                    expect(store.hasChanges(after, isWanted)).to.equal(expected.length > 0);
                    for (const kind of kinds) {
                        expect(store.getAll(kind).map(({ key, value }) => `${key}=${value}`)).to.deep.equal(
                            model.filter(fact => fact.kind === kind && fact.value !== undefined)
                                .map(({ key, value }) => `${key}=${value}`),
                        );
                    }
                }
            }),
            { seed: 5, numRuns: 120 },
        );
    });
});

function isSame(left: ModelFact, right: ModelFact): boolean {
    return left.kind === right.kind && left.key === right.key && left.reporter === right.reporter;
}

function getText({ value }: { value: Uint8Array; }): string {
    return Buffer.from(value).toString();
}
