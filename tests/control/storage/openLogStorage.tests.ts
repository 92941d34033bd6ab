import { create } from "@bufbuild/protobuf";
import bunyan from "bunyan";
import { expect } from "chai";
import fc from "fast-check";
import { mkdtemp, readdir, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { crc32 } from "node:zlib";
import { LogStorage, openLogStorage, OpenStorageOutcome, StoredSnapshot } from "../../../src/control/storage";
import { encodeFileHeader } from "../../../src/control/storage/encodeFileHeader";
import { encodeSnapshot } from "../../../src/control/storage/encodeSnapshot";
import { FileKind } from "../../../src/control/storage/FileKind";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { EntryKind, LogEntry, LogEntrySchema, MemberSetSchema } from "../../../src/protocol";
import { createRandomSource } from "../../../src/runtime";
import { createDiskFake, DiskFake } from "./createDiskFake";
import { createProcessTableFake, ProcessTableFake } from "./createProcessTableFake";

const logger = createSilentLogger();
const metrics = createMetrics();
const runFactor = Number(process.env.BASILWING_RUN_FACTOR ?? 1);
const seedOffset = Number(process.env.BASILWING_SEED ?? 0);

/** A fake disk with the process table and options for opening a log on it. */
interface Harness {
    disk: DiskFake;
    processTable: ProcessTableFake;
    /** Opens the log. */
    open(): Promise<OpenStorageOutcome>;
    /** Opens the log, and throws an error if it can't be opened. */
    openOrThrow(): Promise<LogStorage>;
    /** Gets the messages logged at level warn or higher. */
    getWarnings(): readonly string[];
}

function createHarness(seed: number, segmentBytes = 300): Harness {
    const random = createRandomSource(seed);
    const disk = createDiskFake({ random });
    const processTable = createProcessTableFake();
    let identityCount = 0;
    const records = new bunyan.RingBuffer({ limit: 100 });
    const harnessLogger = bunyan.createLogger({
        name: "test",
        streams: [{ type: "raw", level: "warn", stream: records }],
    });
    return { disk, processTable, open, openOrThrow, getWarnings };

    function getWarnings(): readonly string[] {
        return records.records.map((record: { msg: string; }) => record.msg);
    }

    function open(): Promise<OpenStorageOutcome> {
        return openLogStorage({
            folder: "/log",
            logger: harnessLogger,
            metrics,
            fileSystem: disk.fileSystem,
            processTable,
            createMemberId: () => `member${++identityCount}`,
            segmentBytes,
        });
    }

    async function openOrThrow(): Promise<LogStorage> {
        const outcome = await open();
        if (outcome.kind !== "opened") {
            throw new Error(outcome.reason);
        }
        return outcome.storage;
    }
}

function createEntry(index: bigint, term: bigint, text = `command ${index}`): LogEntry {
    return create(LogEntrySchema, {
        index,
        term,
        kind: EntryKind.COMMAND,
        data: Buffer.from(text),
        timeMilliseconds: 7n,
    });
}

function createEntries(fromIndex: bigint, count: number, term: bigint): LogEntry[] {
    return [...Array(count).keys()].map(position => createEntry(fromIndex + BigInt(position), term));
}

function createSnapshot(index: bigint, term: bigint): StoredSnapshot {
    const members = create(MemberSetSchema, { members: [{ memberId: "a", address: "127.0.0.1:1" }] });
    return { index, term, members, data: Buffer.from(`state ${index}`) };
}

function getEntryTexts(storage: LogStorage): string[] {
    const entries = storage.getEntries(storage.getFirstIndex(), Number.MAX_SAFE_INTEGER);
    return entries.map(entry => `${entry.index}:${entry.term}:${Buffer.from(entry.data).toString("utf8")}`);
}

describe("openLogStorage", () => {
    it("preserves all state across an orderly restart, in several segments", async () => {
        const harness = createHarness(1);
        const storage = await harness.openOrThrow();
        await storage.setHardState({ term: 3n, votedFor: "b" });
        for (let index = 1n; index <= 30n; index += 1n) {
            await storage.addEntries([createEntry(index, 2n)]);
        }
        await storage.removeEntriesFrom(25n);
        await storage.addEntries(createEntries(25n, 2, 3n));
        const texts = getEntryTexts(storage);
        await storage.stop();
        const reopened = await harness.openOrThrow();
        expect(harness.disk.getNames().filter(name => name.startsWith("segment")).length).to.be.greaterThan(3);
        expect(getEntryTexts(reopened)).to.deep.equal(texts);
        expect(reopened.getLastIndex()).to.equal(26n);
        expect(reopened.getHardState()).to.deep.equal({ term: 3n, votedFor: "b" });
        expect(reopened.memberId).to.equal(storage.memberId);
    });

    it("removes the segments that a snapshot covers, except for the entries to be retained", async () => {
        const harness = createHarness(2);
        const storage = await harness.openOrThrow();
        await storage.setHardState({ term: 1n, votedFor: "" });
        for (let index = 1n; index <= 40n; index += 1n) {
            await storage.addEntries([createEntry(index, 1n)]);
        }
        const segmentsBefore = harness.disk.getNames().filter(name => name.startsWith("segment")).length;
        await storage.setSnapshot(createSnapshot(30n, 1n), 5);
        expect(harness.disk.getNames().filter(name => name.startsWith("segment")).length).to.be.lessThan(
            segmentsBefore,
        );
        expect(storage.getFirstIndex()).to.equal(26n);
        expect(storage.getTerm(25n)).to.equal(undefined);
        await storage.stop();
        const reopened = await harness.openOrThrow();
        expect(reopened.getSnapshot()).to.deep.include({ index: 30n, term: 1n });
        expect(Buffer.from(reopened.getSnapshot()!.data).toString("utf8")).to.equal("state 30");
        expect(reopened.getLastIndex()).to.equal(40n);
        expect(Number(reopened.getFirstIndex())).to.be.at.most(26);
    });

    it("replaces a log that diverges from an installed snapshot or ends before it", async () => {
        const harness = createHarness(3);
        const storage = await harness.openOrThrow();
        await storage.setHardState({ term: 1n, votedFor: "" });
        await storage.addEntries(createEntries(1n, 5, 1n));
        await storage.setSnapshot(createSnapshot(4n, 2n));
        expect(storage.getLastIndex()).to.equal(4n);
        expect(storage.getTerm(4n)).to.equal(2n);
        await storage.addEntries(createEntries(5n, 2, 2n));
        await storage.setSnapshot(createSnapshot(100n, 3n));
        await storage.addEntries(createEntries(101n, 2, 3n));
        await storage.stop();
        const reopened = await harness.openOrThrow();
        expect(reopened.getFirstIndex()).to.equal(101n);
        expect(reopened.getLastIndex()).to.equal(102n);
    });

    it("keeps the stored snapshot if the next one, which was requested meanwhile, can't be stored", async () => {
        const harness = createHarness(11);
        const storage = await harness.openOrThrow();
        await storage.setHardState({ term: 1n, votedFor: "" });
        for (let index = 1n; index <= 40n; index += 1n) {
            await storage.addEntries([createEntry(index, 1n)]);
        }
        harness.disk.setFreeBytes(1_000);
        const outcomes = await Promise.all([
            storage.setSnapshot(createSnapshot(30n, 1n)),
            storage.setSnapshot({ ...createSnapshot(100n, 2n), data: Buffer.alloc(2_000) }),
        ]);
        expect(outcomes.at(-1)!.kind).to.equal("failed");
        await storage.stop();
        harness.disk.setFreeBytes(Infinity);
        const reopened = await harness.openOrThrow();
        expect(reopened.getSnapshot()!.index).to.equal(30n);
        expect(reopened.getLastIndex()).to.equal(40n);
    });

    it("opens after a truncation that reaches back into a segment that a snapshot has removed", async () => {
        const harness = createHarness(13, 150);
        const storage = await harness.openOrThrow();
        await storage.addEntries(createEntries(1n, 4, 1n));
        await storage.addEntries(createEntries(5n, 1, 1n));
        await storage.removeEntriesFrom(4n);
        await storage.addEntries(createEntries(4n, 2, 2n));
        await storage.setSnapshot(createSnapshot(5n, 2n), 1);
        await storage.addEntries(createEntries(6n, 1, 2n));
        await storage.stop();
        const reopened = await harness.openOrThrow();
        expect(harness.disk.getNames()).not.to.include("segment-0000000000000001");
        expect(getEntryTexts(reopened)).to.deep.equal(["4:2:command 4", "5:2:command 5", "6:2:command 6"]);
    });

    it("creates another member identity on an emptied disk", async () => {
        const harness = createHarness(4);
        const storage = await harness.openOrThrow();
        await storage.stop();
        harness.disk.clear();
        expect((await harness.openOrThrow()).memberId).not.to.equal(storage.memberId);
    });

    describe("corruption", () => {
        async function doTest(
            getDamage: (disk: DiskFake) => { name: string; offset: number; },
            expectedReason: RegExp,
        ): Promise<void> {
            const harness = createHarness(5);
            const storage = await harness.openOrThrow();
            await storage.setHardState({ term: 1n, votedFor: "" });
            for (let index = 1n; index <= 20n; index += 1n) {
                await storage.addEntries([createEntry(index, 1n)]);
            }
            await storage.setSnapshot(createSnapshot(2n, 1n), 20);
            await storage.stop();
            const { name, offset } = getDamage(harness.disk);
            harness.disk.corruptByte(name, offset);
            const outcome = await harness.open();
            expect(outcome.kind).to.equal("corrupt");
            expect(outcome.kind === "corrupt" ? outcome.reason : "").to.match(expectedReason);
        }

        function getName(disk: DiskFake, prefix: string): string {
            return disk.getNames().filter(name => name.startsWith(prefix)).sort()[0]!;
        }

        it("in the middle of a segment is detected", () =>
            doTest(
                disk => ({ name: getName(disk, "segment"), offset: 40 }),
                /damaged at byte 16, with intact records/,
            ));
        it("of a segment's header is detected", () =>
            doTest(disk => ({ name: getName(disk, "segment"), offset: 3 }), /header/));
        it("at the end of a segment that is not the last is detected", () =>
            doTest(disk => {
                const name = getName(disk, "segment");
                return { name, offset: disk.getSize(name) - 1 };
            }, /another segment follows/));
        it("of a snapshot is detected", () =>
            doTest(disk => {
                const name = getName(disk, "snapshot");
                return { name, offset: disk.getSize(name) - 1 };
            }, /checksum/));
        it("of term and vote is detected", () => doTest(() => ({ name: "state", offset: 30 }), /checksum/));
        it("of the member identity is detected", () => doTest(() => ({ name: "identity", offset: 30 }), /checksum/));
        it("of a format version is detected", () => doTest(() => ({ name: "state", offset: 8 }), /header/));
    });

    it("rejects a file with a later format version", async () => {
        const harness = createHarness(9);
        const storage = await harness.openOrThrow();
        await storage.stop();
        const header = encodeFileHeader(FileKind.HardState).subarray(0, 12);
        header.writeUInt32LE(2, 8);
        const checksum = Buffer.alloc(4);
        checksum.writeUInt32LE(crc32(header));
        const file = await harness.disk.fileSystem.openFile("state");
        await file.truncate(0);
        await file.append(Buffer.concat([header, checksum]));
        const outcome = await harness.open();
        expect(outcome.kind === "corrupt" ? outcome.reason : "").to.match(/format version 2, and this program reads/);
    });

    it("truncates a torn write and logs a warning", async () => {
        const harness = createHarness(10);
        const storage = await harness.openOrThrow();
        await storage.addEntries(createEntries(1n, 2, 1n));
        await storage.stop();
        const file = await harness.disk.fileSystem.openFile("segment-0000000000000001");
        await file.append(Buffer.from("BWFR torn"));
        const reopened = await harness.openOrThrow();
        expect(reopened.getLastIndex()).to.equal(2n);
        expect(harness.getWarnings()).to.deep.equal([
            "truncated a torn write at the end of the log, which was never acknowledged",
        ]);
    });

    it("rejects a folder whose member identity, or term and vote, are missing", async () => {
        for (const name of ["identity", "state"]) {
            const harness = createHarness(6);
            const storage = await harness.openOrThrow();
            await storage.setHardState({ term: 1n, votedFor: "" });
            await storage.addEntries(createEntries(1n, 1, 1n));
            await storage.stop();
            await harness.disk.fileSystem.remove(name);
            expect((await harness.open()).kind).to.equal("corrupt");
        }
    });

    describe("a failing disk", () => {
        async function doTest(code: "ENOSPC" | "EIO", expectedReason: RegExp): Promise<void> {
            const harness = createHarness(7);
            const storage = await harness.openOrThrow();
            await storage.setHardState({ term: 1n, votedFor: "" });
            await storage.addEntries(createEntries(1n, 2, 1n));
            harness.disk.failAfter(0, code);
            const outcome = await storage.addEntries(createEntries(3n, 1, 1n));
            expect(outcome.kind === "failed" ? outcome.reason : "").to.match(expectedReason);
            expect((await storage.addEntries(createEntries(4n, 1, 1n))).kind).to.equal("failed");
            expect((await storage.setHardState({ term: 9n, votedFor: "" })).kind).to.equal("failed");
            await storage.stop();
            const reopened = await harness.openOrThrow();
            expect(getEntryTexts(reopened).slice(0, 2)).to.deep.equal(["1:1:command 1", "2:1:command 2"]);
            expect(reopened.getHardState().term).to.equal(1n);
        }

        it("that is full is reported, and nothing more is written", () => doTest("ENOSPC", /full; free space/));
        it("that returns an error is reported, and nothing more is written", () => doTest("EIO", /fails; replace/));

        it("that is full leaves no file open after attempts to open the log", async () => {
            const harness = createHarness(12);
            const storage = await harness.openOrThrow();
            await storage.setHardState({ term: 1n, votedFor: "" });
            await storage.addEntries(createEntries(1n, 2, 1n));
            const snapshot = createSnapshot(10n, 2n);
            // The log's reset after the snapshot no longer fits, so that each opening has to write it.
            harness.disk.setFreeBytes(Buffer.concat(encodeSnapshot(snapshot)).length);
            expect((await storage.setSnapshot(snapshot)).kind).to.equal("failed");
            await storage.stop();
            for (let byteCount = 0; byteCount < 150; byteCount += 1) {
                harness.disk.endProcess();
                harness.processTable.endProcess();
                harness.disk.setFreeBytes(byteCount);
                const outcome = await harness.open();
                expect(harness.disk.getOpenFileCount()).to.equal(outcome.kind === "opened" ? 1 : 0);
            }
        });
    });

    it("preserves all acknowledged data across crashes", async () => {
        const step = fc.oneof(
            fc.record({ kind: fc.constant("add" as const), count: fc.integer({ min: 1, max: 4 }) }),
            fc.record({ kind: fc.constant("truncate" as const), back: fc.integer({ min: 1, max: 3 }) }),
            fc.record({ kind: fc.constant("snapshot" as const), back: fc.integer({ min: 0, max: 5 }) }),
            fc.record({ kind: fc.constant("vote" as const) }),
            fc.record({ kind: fc.constant("crash" as const), isMidway: fc.boolean() }),
        );
        await fc.assert(
            fc.asyncProperty(fc.integer(), fc.array(step, { minLength: 1, maxLength: 25 }), async (seed, steps) => {
                const harness = createHarness(seed, 150);
                let storage = await harness.openOrThrow();
                let term = 1n;
                let acknowledged: string[] = [];
                let firstAcknowledged = 1n;
                let hardTerm = 0n;
                await storage.setHardState({ term, votedFor: "x" });
                hardTerm = term;
                for (const action of steps) {
                    switch (action.kind) {
                        case "add":
                            await storage.addEntries(createEntries(storage.getLastIndex() + 1n, action.count, term));
                            break;
                        case "truncate": {
                            const index = storage.getLastIndex() + 1n - BigInt(action.back);
                            if (index > (storage.getSnapshot()?.index ?? 0n)) {
                                term += 1n;
                                await storage.removeEntriesFrom(index);
                            }
                            break;
                        }
                        case "snapshot": {
                            const index = storage.getLastIndex() - BigInt(action.back);
                            const snapshotTerm = storage.getTerm(index);
                            if (index > (storage.getSnapshot()?.index ?? 0n) && snapshotTerm !== undefined) {
                                await storage.setSnapshot(createSnapshot(index, snapshotTerm));
                            }
                            break;
                        }
                        case "vote":
                            hardTerm += 1n;
                            await storage.setHardState({ term: hardTerm, votedFor: "y" });
                            break;
                        case "crash": {
                            const lastIndex = storage.getLastIndex();
                            if (action.isMidway) {
                                void storage.addEntries(createEntries(lastIndex + 1n, 3, term));
                                void storage.setHardState({ term: hardTerm + 1n, votedFor: "z" });
                                await Promise.resolve();
                            }
                            harness.disk.crash();
                            harness.processTable.endProcess();
                            await new Promise(resolve => setImmediate(resolve));
                            storage = await harness.openOrThrow();
                            hardTerm = storage.getHardState().term;
                            break;
                        }
                    }
                    const texts = getEntryTexts(storage);
                    const snapshotIndex = storage.getSnapshot()?.index ?? 0n;
                    if (action.kind === "crash") {
                        const coveredCount = Math.max(0, Number(snapshotIndex + 1n - firstAcknowledged));
                        const retained = acknowledged.slice(coveredCount);
                        const found = texts.filter(text => BigInt(text.split(":")[0]!) > snapshotIndex);
                        expect(found.slice(0, retained.length)).to.deep.equal(retained);
                    }
                    acknowledged = texts;
                    firstAcknowledged = storage.getFirstIndex();
                }
                await storage.stop();
            }),
            { seed: 11 + seedOffset, numRuns: 800 * runFactor },
        );
    });

    describe("the lock", () => {
        it("rejects a second opening while the first process is running", async () => {
            const folder = await mkdtemp(join(tmpdir(), "basilwing-lock-"));
            const first = await openLogStorage({ folder, logger, metrics });
            const second = await openLogStorage({ folder, logger, metrics });
            expect(second).to.deep.include({ kind: "locked", processId: process.pid });
            if (first.kind === "opened") {
                await first.storage.stop();
            }
            const third = await openLogStorage({ folder, logger, metrics });
            expect(third.kind).to.equal("opened");
            if (third.kind === "opened") {
                await third.storage.stop();
            }
            expect((await readdir(folder)).filter(name => name.startsWith("lock")).length).to.equal(1);
            await rm(folder, { recursive: true });
        });

        it("is taken over from a killed process, even if its process id has been reused", async () => {
            const folder = await mkdtemp(join(tmpdir(), "basilwing-lock-"));
            const killed = { processId: process.pid, startTime: "earlier", bootId: "" };
            const processTable = { getOwnProcess: async () => killed, isRunning: async () => false };
            expect((await openLogStorage({ folder, logger, metrics, processTable })).kind).to.equal("opened");
            const next = await openLogStorage({ folder, logger, metrics });
            expect(next.kind).to.equal("opened");
            await rm(folder, { recursive: true });
        });

        it("is obtained by exactly one of several processes that find a dead owner", async () => {
            await fc.assert(
                fc.asyncProperty(fc.scheduler(), fc.integer({ min: 2, max: 4 }), async (scheduler, count) => {
                    const harness = createHarness(8);
                    const dead = {
                        getOwnProcess: async () => ({ processId: 99, startTime: "", bootId: "" }),
                        isRunning,
                    };
                    await openLogStorage({ ...getOptions(harness.disk), processTable: dead });
                    const { fileSystem } = harness.disk;
                    const scheduled = {
                        ...fileSystem,
                        listFolder: scheduler.scheduleFunction(fileSystem.listFolder),
                        link: scheduler.scheduleFunction(fileSystem.link),
                        readFile: scheduler.scheduleFunction(fileSystem.readFile),
                    };
                    const openings = [...Array(count).keys()].map(number => {
                        const own = { processId: number, startTime: "", bootId: "" };
                        const processTable = { getOwnProcess: async () => own, isRunning };
                        return openLogStorage({ ...getOptions(harness.disk), fileSystem: scheduled, processTable });
                    });
                    await scheduler.waitFor(Promise.all(openings));
                    const outcomes = await Promise.all(openings);
                    expect(outcomes.filter(outcome => outcome.kind === "opened").length).to.equal(1);
                }),
                { seed: 12, numRuns: 100 },
            );

            async function isRunning(owner: { processId: number; }): Promise<boolean> {
                return owner.processId !== 99;
            }

            function getOptions(disk: DiskFake) {
                return { folder: "/log", logger, metrics, fileSystem: disk.fileSystem };
            }
        });
    });
});
