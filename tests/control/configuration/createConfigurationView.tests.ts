import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createHash } from "node:crypto";
import {
    createConfigurationPart,
    createConfigurationView,
    ViewUpdateOutcome,
} from "../../../src/control/configuration";
import { CounterName, createMetrics } from "../../../src/metrics";
import { ConfigurationDeltaSchema, ConfigurationSnapshotSchema } from "../../../src/protocol";
import { applyTestChange } from "./createTestCommand";

describe("createConfigurationView", () => {
    function digest(key: string): string {
        return createHash("sha256").update(key).digest("hex");
    }

    /** Creates a source at revision 3 and a view at revision 2. */
    function createPair(): {
        source: ReturnType<typeof createConfigurationPart>;
        view: ReturnType<typeof createConfigurationView>;
        metrics: ReturnType<typeof createMetrics>;
    } {
        const source = createConfigurationPart();
        const metrics = createMetrics();
        const view = createConfigurationView({ metrics });
        [["key-1"], ["key-1", "key-2"], ["key-2"]].forEach((keys, index) => {
            view.applySnapshot(source.getSnapshot());
            const operations = [{ level: "/regie/counter/anne", setting: "keyDigests", value: keys.map(digest) }];
            applyTestChange(source, { changeId: `c${index}`, expectedRevision: BigInt(index), operations });
        });
        return { source, view, metrics };
    }

    describe("getSubscriberByKey", () => {
        function doTest(key: string, expectedPath: string | undefined): void {
            const subscriber = createPair().view.getSubscriberByKey(key);
            expect(subscriber).to.deep.equal(expectedPath && { workspace: "regie", path: expectedPath });
        }

        it("finds a subscriber", () => doTest("key-1", "/regie/counter/anne"));
        it("finds a subscriber by each of its keys", () => doTest("key-2", "/regie/counter/anne"));
        it("finds no subscriber for an unknown key", () => doTest("key-3", undefined));
        it("finds no subscriber for the digest of a key", () => doTest(digest("key-1"), undefined));
        it("finds no subscriber for an empty key", () => doTest("", undefined));

        it("no longer accepts a key that a delta removes", () => {
            const { source, view } = createPair();
            source.getDeltasSince(2n)!.forEach(view.applyDelta);
            expect(view.getSubscriberByKey("key-1")).to.equal(undefined);
            expect(view.getSubscriberByKey("key-2")?.path).to.equal("/regie/counter/anne");
        });
    });

    describe("updates", () => {
        function doTest(
            update: (pair: ReturnType<typeof createPair>) => ViewUpdateOutcome,
            expected: { kind: ViewUpdateOutcome["kind"]; revision: bigint; staleCount?: number; },
        ): void {
            const pair = createPair();
            const { kind, revision } = update(pair);
            const staleCount = pair.metrics.getCount(CounterName.StaleRevisionsDropped);
            expect({ kind, revision, staleCount }).to.deep.equal({ staleCount: 0, ...expected });
            expect(pair.view.getRevision()).to.equal(revision);
        }

        function createDelta(
            revision: bigint,
            operation: object,
        ): Parameters<ReturnType<typeof createPair>["view"]["applyDelta"]>[0] {
            return create(ConfigurationDeltaSchema, { revision, operations: [operation] });
        }

        it("apply the next delta", () => {
            doTest(({ view, source }) => view.applyDelta(source.getDeltasSince(2n)![0]!), {
                kind: "applied",
                revision: 3n,
            });
        });
        it("apply a newer snapshot", () => {
            doTest(({ view, source }) => view.applySnapshot(source.getSnapshot()), { kind: "applied", revision: 3n });
        });
        it("ignore and count an older delta", () => {
            doTest(({ view, source }) => view.applyDelta(source.getDeltasSince(0n)![0]!), {
                kind: "stale",
                revision: 2n,
                staleCount: 1,
            });
        });
        it("ignore and count an older snapshot", () => {
            const old = create(ConfigurationSnapshotSchema, { revision: 1n });
            doTest(({ view }) => view.applySnapshot(old), { kind: "stale", revision: 2n, staleCount: 1 });
        });
        it("ignore a duplicate delta", () => {
            doTest(({ view, source }) => view.applyDelta(source.getDeltasSince(1n)![0]!), {
                kind: "unchanged",
                revision: 2n,
            });
        });
        it("request a snapshot after a gap", () => {
            doTest(({ view }) => view.applyDelta(createDelta(4n, { level: "/", value: "{}" })), {
                kind: "snapshotNeeded",
                revision: 2n,
            });
        });
        it("request a snapshot if a delta can't be parsed", () => {
            doTest(({ view }) => view.applyDelta(createDelta(3n, { level: "/", value: "{" })), {
                kind: "snapshotNeeded",
                revision: 2n,
            });
        });
        it("reject a snapshot that can't be parsed", () => {
            const wrong = create(ConfigurationSnapshotSchema, { revision: 9n, levels: { "/": "[]" } });
            doTest(({ view }) => view.applySnapshot(wrong), { kind: "snapshotNeeded", revision: 2n });
        });
        it("accept settings that only a newer version defines", () => {
            const delta = createDelta(3n, { level: "/regie", value: "{\"later\":{\"x\":1}}" });
            doTest(({ view }) => view.applyDelta(delta), { kind: "applied", revision: 3n });
        });
    });

    it("follows a key that moves to another subscriber, whichever subscriber sorts first", () => {
        const { view, source } = createPair();
        ["/regie/counter/zoe", "/regie/counter/anne", "/regie/counter/adam"].forEach((level, index, levels) => {
            const operations = [
                { level: levels[index - 1] ?? "/regie/counter/anne", setting: "keyDigests" },
                { level, setting: "keyDigests", value: [digest("key-2")] },
            ];
            applyTestChange(source, { changeId: `m${index}`, expectedRevision: source.getRevision(), operations });
            source.getDeltasSince(view.getRevision())!.forEach(view.applyDelta);
            expect(view.getSubscriberByKey("key-2")?.path).to.equal(level);
            const restarted = createConfigurationView();
            restarted.applySnapshot(source.getSnapshot());
            expect(restarted.getSubscriberByKey("key-2")?.path).to.equal(level);
        });
    });

    it("finds no service under the names of inherited object properties", () => {
        const { view, source } = createPair();
        const operations = [{ level: "/", setting: "services.lockers", value: [] }];
        applyTestChange(source, { changeId: "s", expectedRevision: 3n, operations });
        view.applySnapshot(source.getSnapshot());
        const { services } = view.getEffectiveSettings("/regie/counter/anne").values;
        expect([services?.constructor, services?.lockers]).to.deep.equal([undefined, []]);
    });
});
