import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { LogStorage, openLogStorage } from "../../../src/control/storage";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { EntryKind, LogEntry, LogEntrySchema, MemberSetSchema } from "../../../src/protocol";
import { createRandomSource } from "../../../src/runtime";
import { createDiskFake, DiskFake } from "./createDiskFake";

const runFactor = Number(process.env.BASILWING_RUN_FACTOR ?? 1);
const seedOffset = Number(process.env.BASILWING_SEED ?? 0);
const logger = createSilentLogger();
const metrics = createMetrics();

/** What a member relies on: everything that a stored write or an opened folder has shown. */
interface VisibleState {
    hardState: string;
    snapshot: string;
    /** The entries after the snapshot. */
    entries: readonly string[];
}

/** A stop of the process or of the machine, and those that interrupt the openings after it. */
const stopsArbitrary = fc.array(
    fc.record({
        after: fc.integer({ min: 0, max: 14 }),
        stop: fc.constantFrom("crash" as const, "endProcess" as const),
    }),
    { maxLength: 4 },
);
const stepArbitrary = fc.record({
    kind: fc.constantFrom(
        "add",
        "add",
        "add",
        "truncate",
        "vote",
        "snapshot",
        "install",
        "restart",
        "addDuringSnapshot",
    ),
    count: fc.integer({ min: 1, max: 6 }),
    stops: fc.option(stopsArbitrary, { nil: [] }),
});

describe("the log storage under power failures", () => {
    it("opens again, with its identity and all that was acknowledged, after any power failures and kills", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                stopsArbitrary,
                fc.array(stepArbitrary, { minLength: 1, maxLength: 20 }),
                async (seed, firstStops, steps) => {
                    const member = createMember(seed);
                    await member.open(firstStops);
                    for (const { kind, count, stops } of steps) {
                        await member.run(kind, count, stops);
                    }
                },
            ),
            { seed: 21 + seedOffset, numRuns: 1_500 * runFactor },
        );
    });
});

type Stops = readonly { after: number; stop: "crash" | "endProcess"; }[];

/** Creates a member that checks its state against what was acknowledged whenever its folder is opened. */
function createMember(seed: number) {
    const disk = createDiskFake({ random: createRandomSource(seed) });
    let identityCount = 0;
    let commandCount = 0;
    let storage: LogStorage;
    let memberId: string | undefined;
    /** The states that the member may be in: the acknowledged one, and that after the write in flight. */
    let possible: VisibleState[] = [{ hardState: "0:", snapshot: "", entries: [] }];
    return { open, run };

    async function open(stops: Stops): Promise<void> {
        for (const { after, stop } of stops) {
            disk.stopAfter(after, stop);
            await openOnce();
        }
        // No further stop interrupts the last opening.
        disk.stopAfter(Infinity, "crash");
        expect(await openOnce(), "the folder opens").to.equal("opened");
    }

    async function openOnce(): Promise<string> {
        const opened = await openStorage(disk, () => `member${++identityCount}`);
        if (opened.kind === "opened") {
            storage = opened.storage;
            memberId ??= storage.memberId;
            expect(storage.memberId, "the identity is kept").to.equal(memberId);
            const found = getState(storage);
            expect(possible.map(state => JSON.stringify(state))).to.include(JSON.stringify(found));
            possible = [found];
        }
        else {
            expect(opened.kind, opened.reason).to.equal("failed");
        }
        return opened.kind;
    }

    async function run(kind: string, count: number, stops: Stops): Promise<void> {
        const [first, ...later] = stops;
        disk.stopAfter(first?.after ?? Infinity, first?.stop ?? "crash");
        const before = possible[0]!;
        const snapshotWrite = kind === "addDuringSnapshot" ? startWrite("snapshot", count) : undefined;
        const write = startWrite(kind === "addDuringSnapshot" ? "add" : kind, count);
        if (write) {
            possible = [before, write.after];
            if (snapshotWrite) {
                const { snapshot, entries } = snapshotWrite.after;
                possible.push(snapshotWrite.after, {
                    ...before,
                    entries: [...before.entries, ...write.after.entries.slice(entries.length)],
                });
                expect(write.after.snapshot).to.equal(snapshot);
            }
            const outcomes = [await write.outcome, await snapshotWrite?.outcome];
            const isStored = outcomes.every(outcome => outcome?.kind !== "failed");
            possible = isStored ? [write.after] : possible;
        }
        if (first || kind === "restart") {
            // Ends the process here unless it has ended during the write.
            disk.stopAfter(0, first?.stop ?? "crash");
            await disk.fileSystem.listFolder("/data/log").catch(() => undefined);
            await open(later);
        }
    }

    function startWrite(kind: string, count: number) {
        const [before] = possible as [VisibleState];
        const lastIndex = storage.getLastIndex();
        const { term } = storage.getHardState();
        const snapshotIndex = storage.getSnapshot()?.index ?? 0n;
        switch (kind) {
            case "add": {
                const entries = [...Array(count).keys()].map(number =>
                    createEntry(lastIndex + 1n + BigInt(number), term)
                );
                const outcome = storage.addEntries(entries);
                return { outcome, after: getState(storage) };
            }
            case "truncate": {
                const index = lastIndex + 1n - BigInt(count);
                const outcome = index > snapshotIndex ? storage.removeEntriesFrom(index) : undefined;
                return outcome && { outcome, after: getState(storage) };
            }
            case "vote": {
                const outcome = storage.setHardState({ term: term + 1n, votedFor: `candidate${count}` });
                return { outcome, after: getState(storage) };
            }
            case "snapshot": {
                const index = lastIndex + 1n - BigInt(count);
                const entryTerm = storage.getTerm(index);
                if (index <= snapshotIndex || entryTerm === undefined) {
                    return undefined;
                }
                const outcome = storage.setSnapshot(createSnapshot(index, entryTerm), count % 3);
                return { outcome, after: getState(storage) };
            }
            case "install": {
                const index = lastIndex - 3n + BigInt(count);
                // The term of no entry, so that the snapshot replaces the whole log.
                const snapshot = createSnapshot(index, 1_000n + BigInt(++commandCount));
                if (index <= snapshotIndex) {
                    return undefined;
                }
                const outcome = storage.setSnapshot(snapshot);
                return { outcome, after: { ...before, snapshot: `${index}:${snapshot.term}`, entries: [] } };
            }
            default:
                return undefined;
        }
    }

    function createEntry(index: bigint, term: bigint): LogEntry {
        const data = Buffer.from(`command ${++commandCount}`);
        return create(LogEntrySchema, { index, term, kind: EntryKind.COMMAND, data, timeMilliseconds: 7n });
    }
}

/** Opens the folder as the platform does: its file system has no hard links, and each start takes the lock over. */
function openStorage(disk: DiskFake, createMemberId: () => string) {
    const { fileSystem } = disk;
    return openLogStorage({
        folder: "/data/log",
        logger,
        metrics,
        fileSystem: { ...fileSystem, link },
        processTable: {
            getOwnProcess: async () => ({ processId: 1, startTime: "", bootId: "" }),
            isRunning: async () => false,
        },
        createMemberId,
        segmentBytes: 150,
    });

    /** Copies the file, as the machine's file system does where it has no hard links. */
    async function link(fromPath: string, toPath: string): Promise<boolean> {
        if (await fileSystem.readFile(toPath)) {
            return false;
        }
        const file = await fileSystem.openFile(toPath);
        await file.append(await fileSystem.readFile(fromPath) ?? new Uint8Array());
        await file.sync();
        await file.close();
        return true;
    }
}

function createSnapshot(index: bigint, term: bigint) {
    const members = create(MemberSetSchema, { members: [{ memberId: "a", address: "127.0.0.1:1" }] });
    return { index, term, members, data: Buffer.from(`state ${index}`) };
}

function getState(storage: LogStorage): VisibleState {
    const { term, votedFor } = storage.getHardState();
    const snapshot = storage.getSnapshot();
    const entries = storage.getEntries(storage.getFirstIndex(), Number.MAX_SAFE_INTEGER)
        .filter(({ index }) => index > (snapshot?.index ?? 0n))
        .map(({ index, data }) => `${index} ${Buffer.from(data).toString("utf8")}`);
    return {
        hardState: `${term}:${votedFor}`,
        snapshot: snapshot ? `${snapshot.index}:${snapshot.term}` : "",
        entries,
    };
}
