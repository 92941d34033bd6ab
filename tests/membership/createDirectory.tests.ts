import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { createDirectory, WritableDirectory } from "../../src/membership";
import { DirectoryUpdateSchema, ProcessRole, ProcessState } from "../../src/protocol";
import { createTestRecord } from "./createTestRecord";
import { createVirtualTime, VirtualTime } from "./createVirtualTime";

describe("createDirectory", () => {
    let time: VirtualTime;
    let directory: WritableDirectory;

    beforeEach(() => {
        time = createVirtualTime();
        directory = createDirectory({ clock: time.createClock() });
    });

    function getCandidateIds(): string[] {
        return directory.getCandidates("large").map(record => record.instanceId);
    }

    function addReadySidecars(...instanceIds: string[]): void {
        instanceIds.forEach(instanceId => directory.mergeRecord(createTestRecord(instanceId)));
    }

    describe("getCandidates", () => {
        function doTest(values: Parameters<typeof createTestRecord>[1], expected: string[]): void {
            addReadySidecars("a");
            directory.mergeRecord(createTestRecord("b", values));
            expect(getCandidateIds()).to.deep.equal(expected);
        }

        it("lists ready sidecars sorted by id", () => doTest({}, ["a", "b"]));
        it("leaves out starting sidecars", () => doTest({ state: ProcessState.STARTING }, ["a"]));
        it("leaves out leaving sidecars", () => doTest({ state: ProcessState.LEAVING }, ["a"]));
        it("leaves out lost sidecars while others are available", () => doTest({ state: ProcessState.LOST }, ["a"]));
        it("leaves out sidecars of other models", () => doTest({ serves: "small" }, ["a"]));
        it("leaves out entry processes", () => doTest({ role: ProcessRole.ENTRY }, ["a"]));

        it("removes a sidecar that changes its model", () => {
            addReadySidecars("a");
            directory.mergeRecord(createTestRecord("a", { serves: "small", recordNumber: 2n }));
            expect(getCandidateIds()).to.deep.equal([]);
        });

        it("keeps a lost sidecar when there is no other", () => {
            directory.mergeRecord(createTestRecord("a", { state: ProcessState.LOST }));
            expect(getCandidateIds()).to.deep.equal(["a"]);
        });
    });

    describe("addSuspicion", () => {
        it("leaves out the suspected sidecar until the suspicion expires", async () => {
            addReadySidecars("a", "b");
            directory.addSuspicion("a", "1");
            expect(getCandidateIds()).to.deep.equal(["b"]);
            await time.advance(5_000);
            expect(getCandidateIds()).to.deep.equal(["a", "b"]);
        });

        it("lasts longer for a sidecar that keeps failing", async () => {
            addReadySidecars("a", "b");
            directory.addSuspicion("a", "1");
            await time.advance(5_000);
            directory.addSuspicion("a", "1");
            await time.advance(5_000);
            expect(getCandidateIds()).to.deep.equal(["b"]);
            await time.advance(5_000);
            expect(getCandidateIds()).to.deep.equal(["a", "b"]);
        });

        it("doesn't apply to a newer incarnation", () => {
            addReadySidecars("a", "b");
            directory.addSuspicion("a", "1");
            directory.mergeRecord(createTestRecord("a", { incarnation: "2", recordNumber: 2n }));
            directory.addSuspicion("a", "1");
            expect(getCandidateIds()).to.deep.equal(["a", "b"]);
        });

        it("is cleared by a newer record of the suspected sidecar", () => {
            addReadySidecars("a", "b");
            directory.addSuspicion("a", "1");
            directory.mergeRecord(createTestRecord("a", { recordNumber: 2n, version: "2" }));
            expect(getCandidateIds()).to.deep.equal(["a", "b"]);
        });

        it("leaves out the sidecars of a failed data centre and keeps the others", () => {
            addReadySidecars("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2");
            ["a1", "a2", "a3"].forEach(instanceId => directory.addSuspicion(instanceId, "1"));
            expect(getCandidateIds()).to.deep.equal(["b1", "b2", "b3", "c1", "c2"]);
        });

        it("is ignored when too few sidecars would remain", () => {
            addReadySidecars("a", "b", "c", "d", "e");
            ["a", "b", "c", "d"].forEach(instanceId => directory.addSuspicion(instanceId, "1"));
            expect(getCandidateIds()).to.deep.equal(["a", "b", "c", "d", "e"]);
        });
    });

    describe("addLeaving", () => {
        it("is permanent for the incarnation, whatever its later records contain", () => {
            addReadySidecars("a", "b");
            directory.addLeaving("a", "1");
            directory.mergeRecord(createTestRecord("a", { recordNumber: 9n }));
            expect(getCandidateIds()).to.deep.equal(["b"]);
        });

        it("also applies when it arrives before the record", () => {
            directory.addLeaving("a", "1");
            addReadySidecars("a");
            expect(getCandidateIds()).to.deep.equal([]);
        });

        it("doesn't apply to a newer incarnation of the instance", () => {
            addReadySidecars("a");
            directory.addLeaving("a", "1");
            directory.mergeRecord(createTestRecord("a", { incarnation: "2", recordNumber: 9n }));
            expect(getCandidateIds()).to.deep.equal(["a"]);
        });

        it("is also taken from a record older than the current one", () => {
            directory.mergeRecord(createTestRecord("a", { recordNumber: 9n }));
            directory.mergeRecord(createTestRecord("a", { state: ProcessState.LEAVING, recordNumber: 3n }));
            expect(getCandidateIds()).to.deep.equal([]);
        });
    });

    describe("applyPlatformList", () => {
        function doTest(lists: readonly (readonly [string, boolean][])[], expected: string[]): void {
            addReadySidecars("a", "b");
            lists.forEach(list =>
                directory.applyPlatformList(list.map(([instanceId, isLeaving]) => ({ instanceId, isLeaving })))
            );
            expect(getCandidateIds()).to.deep.equal(expected);
        }

        it("keeps a sidecar that the list leaves out", () => doTest([[["b", false]]], ["a", "b"]));
        it("removes an instance that the platform starts to remove", () => {
            doTest([[["a", false], ["b", false]], [["a", true], ["b", false]]], ["b"]);
        });
        it("keeps out an instance whose removal a later list reverts", () => {
            doTest([[["a", false]], [["a", true]], [["a", false]]], ["b"]);
        });
        it("avoids an instance that was listed as leaving from the start", () => doTest([[["a", true]]], ["b"]));
        it("stops avoiding an instance when the list was merely late", () =>
            doTest([[["a", true]], [["a", false]]], ["a", "b"]));

        it("doesn't revive an instance that has left", () => {
            addReadySidecars("b");
            directory.mergeRecord(createTestRecord("a", { state: ProcessState.LEAVING }));
            directory.applyPlatformList([{ instanceId: "a", isLeaving: false }]);
            expect(getCandidateIds()).to.deep.equal(["b"]);
        });

        it("doesn't treat a new incarnation as the one that is leaving", () => {
            addReadySidecars("a", "b");
            directory.applyPlatformList([{ instanceId: "a", isLeaving: false }]);
            directory.mergeRecord(createTestRecord("a", { incarnation: "2", recordNumber: 5n }));
            directory.applyPlatformList([{ instanceId: "a", isLeaving: true }]);
            directory.applyPlatformList([]);
            expect(getCandidateIds()).to.deep.equal(["a", "b"]);
        });
    });

    describe("applyUpdate", () => {
        it("avoids processes that a complete update left out, after the grace period", async () => {
            addReadySidecars("a", "b");
            directory.applyUpdate(create(DirectoryUpdateSchema, { complete: true, records: [createTestRecord("b")] }));
            expect(getCandidateIds()).to.deep.equal(["a", "b"]);
            await time.advance(60_000);
            expect(getCandidateIds()).to.deep.equal(["b"]);
        });

        it("keeps processes that are listed again", async () => {
            addReadySidecars("a", "b");
            directory.applyUpdate(create(DirectoryUpdateSchema, { complete: true, records: [] }));
            directory.applyUpdate(create(DirectoryUpdateSchema, { records: [createTestRecord("a")] }));
            await time.advance(60_000);
            expect(getCandidateIds()).to.deep.equal(["a"]);
        });
    });

    describe("with lost, late, repeated and reordered messages", () => {
        const states = [ProcessState.STARTING, ProcessState.READY, ProcessState.LEAVING, ProcessState.LOST];
        const records = fc.record({
            instanceId: fc.constantFrom("a", "b", "c"),
            incarnation: fc.constantFrom("1", "2", "3"),
            recordNumber: fc.bigInt({ min: 1n, max: 6n }),
            state: fc.constantFrom(...states, ProcessState.GONE),
        }).map(({ instanceId, ...values }) => createTestRecord(instanceId, values));

        /** Gets the compared fields of a copy's records as sorted texts. */
        function describeCopy(copy: WritableDirectory): string[] {
            return copy.getRecords()
                .map(({ instanceId, incarnation, recordNumber, state }) =>
                    `${instanceId} ${incarnation} ${recordNumber} ${state}`
                )
                .sort();
        }

        it("copies that have received the same messages are equal", () => {
            const orders = fc.array(records, { maxLength: 16 }).chain(messages =>
                fc.tuple(
                    fc.constant(messages),
                    fc.shuffledSubarray(messages, { minLength: messages.length }),
                    fc.array(fc.constantFrom(...messages, createTestRecord("d")), { maxLength: 8 }),
                )
            );
            fc.assert(
                fc.property(orders, ([messages, otherOrder, repeated]) => {
                    const [first, second] = [1, 2].map(() => createDirectory({ clock: time.createClock() }));
                    [...messages, ...repeated].forEach(first!.mergeRecord);
                    [...repeated, ...otherOrder].forEach(second!.mergeRecord);
                    expect(describeCopy(first!)).to.deep.equal(describeCopy(second!));
                    expect(first!.getDigests()).to.deep.equal(second!.getDigests());
                }),
                { seed: 41, numRuns: 1_000 },
            );
        });

        it("an incarnation that is known to be leaving is never a candidate, and record numbers never decrease", () => {
            fc.assert(
                fc.property(fc.array(records, { maxLength: 24 }), messages => {
                    const copy = createDirectory({ clock: time.createClock() });
                    const leaving = new Set<string>();
                    const numbers = new Map<string, bigint>();
                    for (const message of messages) {
                        copy.mergeRecord(message);
                        if (message.state === ProcessState.LEAVING || message.state === ProcessState.GONE) {
                            leaving.add(`${message.instanceId} ${message.incarnation}`);
                        }
                        const candidates = copy.getCandidates("large");
                        const wrong = candidates.filter(({ instanceId, incarnation }) =>
                            leaving.has(`${instanceId} ${incarnation}`)
                        );
                        expect(wrong).to.deep.equal([]);
                        const { recordNumber } = copy.getRecord(message.instanceId)!;
                        expect(recordNumber >= (numbers.get(message.instanceId) ?? 0n)).to.equal(true);
                        numbers.set(message.instanceId, recordNumber);
                    }
                }),
                { seed: 42, numRuns: 1_000 },
            );
        });
    });
});
