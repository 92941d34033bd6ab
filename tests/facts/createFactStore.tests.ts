import { expect } from "chai";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { FactStore } from "../../src/facts";
import { createManualClock } from "../support/createManualClock";
import { createTestFactKind } from "./createTestFactKind";
import { createTestFactStore } from "./createTestFacts";

describe("createFactStore", () => {
    const kind = createTestFactKind({ maximumCount: 3 });

    function createFixture() {
        const clock = createManualClock();
        const own = createTestFactStore(clock, "own", [kind]);
        const other = createTestFactStore(clock, "other", [kind]);
        return { clock, own, other };
    }

    const getAllChanges = (store: FactStore) => store.getChanges(0, () => true).facts;
    const getValues = (store: FactStore) => store.getAll(kind).map(({ key, value }) => `${key}=${value}`);

    describe("publish", () => {
        it("replaces the fact with the same key", () => {
            const { own } = createFixture();
            own.publish(kind, "a", "1");
            own.publish(kind, "a", "2");
            expect(getValues(own)).to.deep.equal(["a=2"]);
        });

        it("drops the facts updated least recently beyond the maximum", () => {
            const { own } = createFixture();
            ["a", "b", "c", "a", "d"].forEach(key => own.publish(kind, key, "1"));
            expect(getValues(own)).to.deep.equal(["c=1", "a=1", "d=1"]);
        });

        it("drops a fact at the end of its lifetime, counted from when it was observed", async () => {
            const { clock, own } = createFixture();
            own.publish(kind, "a", "1", 4_000);
            await clock.advance(5_999);
            expect(getValues(own)).to.deep.equal(["a=1"]);
            await clock.advance(1);
            expect(getValues(own)).to.deep.equal([]);
        });
    });

    describe("getAll", () => {
        // The list of changes kept the values of expired facts until another fact of the kind was added.
        it("lets the values of expired facts be collected, whether or not another fact follows", async () => {
            setFlagsFromString("--expose-gc");
            const collectGarbage = runInNewContext("gc") as () => void;
            const values: WeakRef<Uint8Array>[] = [];
            const encode = (value: string) => {
                const bytes = Buffer.from(value);
                values.push(new WeakRef(bytes));
                return bytes;
            };
            const large = createTestFactKind({ maximumCount: 2_000, encode });
            const clock = createManualClock();
            const store = createTestFactStore(clock, "own", [large]);
            Array.from({ length: 500 }, (...[, index]) => store.publish(large, String(index), "1"));
            await clock.advance(large.lifetimeMilliseconds);
            expect(store.getAll(large)).to.deep.equal([]);
            await new Promise(resolve => setImmediate(resolve));
            collectGarbage();
            expect(values.filter(value => value.deref())).to.have.length(0);
        });
    });

    describe("merge", () => {
        it("adds the facts of others, with their age", async () => {
            const { clock, own, other } = createFixture();
            other.publish(kind, "a", "1");
            await clock.advance(9_000);
            own.merge(getAllChanges(other), "store");
            expect(getValues(own)).to.deep.equal(["a=1"]);
            await clock.advance(1_000);
            expect(getValues(own)).to.deep.equal([]);
        });

        it("ignores an older copy that arrives late, also of a withdrawn fact", () => {
            const { own, other } = createFixture();
            other.publish(kind, "a", "1");
            const older = getAllChanges(other);
            other.publish(kind, "a", "2");
            const newer = getAllChanges(other);
            other.withdraw(kind, "a");
            own.merge(newer, "store");
            own.merge(older, "store");
            expect(getValues(own)).to.deep.equal(["a=2"]);
            own.merge(getAllChanges(other), "store");
            own.merge(newer, "store");
            expect(getValues(own)).to.deep.equal([]);
        });

        it("keeps facts of several reporters with the same key apart", () => {
            const { own, other } = createFixture();
            own.publish(kind, "a", "1");
            other.publish(kind, "a", "2");
            own.merge(getAllChanges(other), "store");
            expect(getValues(own)).to.deep.equal(["a=1", "a=2"]);
        });

        it("ignores copies of its own facts, unknown kinds and values that can't be decoded", () => {
            const { clock, own, other } = createFixture();
            own.publish(kind, "a", "1");
            const copies = getAllChanges(own);
            own.withdraw(kind, "a");
            const unknownKind = createTestFactKind({ name: "unknown" });
            const third = createTestFactStore(clock, "third", [unknownKind]);
            third.publish(unknownKind, "a", "1");
            other.publish(kind, "b", "");
            own.merge([...copies, ...getAllChanges(third), ...getAllChanges(other)], "store");
            expect(getValues(own)).to.deep.equal([]);
        });
    });

    describe("getChanges", () => {
        it("returns what changed after a position, the newest state of each fact once", () => {
            const { own } = createFixture();
            own.publish(kind, "a", "1");
            const position = own.getPosition();
            own.publish(kind, "b", "1");
            own.publish(kind, "b", "2");
            const { facts } = own.getChanges(position, () => true);
            expect(facts.map(({ key, value }) => `${key}=${Buffer.from(value).toString()}`)).to.deep.equal(["b=2"]);
        });

        it("returns many facts in parts", () => {
            const large = createTestFactKind({ maximumCount: 2_000 });
            const store = createTestFactStore(createManualClock(), "own", [large]);
            Array.from({ length: 1_200 }, (...[, index]) => store.publish(large, String(index), "1"));
            const sizes: number[] = [];
            let position = 0;
            while (position < store.getPosition()) {
                const changes = store.getChanges(position, () => true);
                sizes.push(changes.facts.length);
                position = changes.position;
            }
            expect(sizes).to.deep.equal([512, 512, 176]);
        });
    });
});
