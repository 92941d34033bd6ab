import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { openMemberStorage } from "../../../platform/roles/openMemberStorage";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { EntryKind, LogEntrySchema, MemberSetSchema } from "../../../src/protocol";
import { createRandomSource, createSystemClock } from "../../../src/runtime";
import { createDiskFake } from "../../control/storage/createDiskFake";

describe("openMemberStorage", () => {
    let parent: string;
    beforeEach(() => parent = mkdtempSync(join(tmpdir(), "member-")));
    afterEach(() => rmSync(parent, { recursive: true, force: true }));

    it("opens the storage once the disk is usable", async () => {
        const blockedPath = join(parent, "disk");
        writeFileSync(blockedPath, "not a folder");
        let attemptCount = 0;
        const sleep = () => {
            attemptCount += 1;
            if (attemptCount === 3) {
                rmSync(blockedPath);
            }
            return Promise.resolve();
        };
        const opened = await openMemberStorage({
            folder: join(blockedPath, "data"),
            clock: { ...createSystemClock(), sleep },
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        expect(attemptCount).to.equal(3);
        await opened?.waitForDisk();
        await opened?.storage.stop();
    });

    it("holds no more files open the longer the disk is full", async () => {
        const disk = createDiskFake({ random: createRandomSource(1) });
        const openFileCounts: number[] = [];
        const opened = await openMemberStorage({
            folder: "/log",
            clock: { ...createSystemClock(), sleep },
            logger: createSilentLogger(),
            metrics: createMetrics(),
            fileSystem: disk.fileSystem,
        });
        disk.setFreeBytes(0);
        await opened!.waitForDisk();
        expect(openFileCounts).to.deep.equal([0, 0, 0, 0]);

        async function sleep(): Promise<void> {
            openFileCounts.push(disk.getOpenFileCount());
            if (openFileCounts.length === 4) {
                disk.setFreeBytes(Infinity);
            }
        }
    });

    it("waits until the disk takes a snapshot and a large entry, so that the process doesn't end in vain", async () => {
        const disk = createDiskFake({ random: createRandomSource(1) });
        let attemptCount = 0;
        const opened = await openMemberStorage({
            folder: "/log",
            clock: { ...createSystemClock(), sleep },
            logger: createSilentLogger(),
            metrics: createMetrics(),
            fileSystem: disk.fileSystem,
        });
        const data = Buffer.alloc(200_000);
        const { storage, waitForDisk } = opened!;
        await storage.addEntries([create(LogEntrySchema, { index: 1n, term: 1n, kind: EntryKind.COMMAND, data })]);
        disk.setFreeBytes(100_000);
        await storage.setSnapshot({ index: 1n, term: 1n, members: create(MemberSetSchema), data }, 1);
        disk.setFreeBytes(100_000);
        await waitForDisk();
        expect(attemptCount).to.equal(3);

        async function sleep(): Promise<void> {
            attemptCount += 1;
            disk.setFreeBytes(attemptCount === 3 ? 1_000_000 : 100_000);
        }
    });
});
