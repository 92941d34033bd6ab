import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { soakBounds } from "../soak/soakBounds";
import { startPulses } from "../soak/startPulses";
import { waitForDocumentAtAll } from "../soak/waitForDocumentAtAll";
import { startControlGroup } from "./startControlGroup";

const testTimeoutMilliseconds = 240_000;
const millisecondsPerSecond = 1_000;

describe("a disk lost after the group had the time to replace the last, while all others are killed", () => {
    async function doTest(network: string, versionCount: number, stoppedShare: number): Promise<void> {
        const folder = mkdtempSync(join(tmpdir(), "lost-disks-"));
        const group = await startControlGroup(network, folder, versionCount);
        const stopPulses = startPulses(group.controls, stoppedShare);
        const stopChanges = group.startChanges();
        try {
            await group.loseDisk(0);
            await sleep(soakBounds.catch_up_s * millisecondsPerSecond);
            await group.loseDiskAndKillOthers(1);
            const result = await waitForDocumentAtAll(group.operator);
            expect(result, "milliseconds until all members answer reads").to.be.a("number");
        }
        finally {
            // The change that is being sent ends with the operator.
            group.operator.stop();
            await Promise.all([stopChanges(), stopPulses()]);
            await group.stop();
            rmSync(folder, { recursive: true });
        }
    }

    it("loses nothing after a short history", () => doTest("127.210.20", 20, 0)).timeout(testTimeoutMilliseconds);

    it("loses nothing after a long history, with members that are stopped half of the time", () => {
        return doTest("127.210.21", 2_300, 0.5);
    }).timeout(testTimeoutMilliseconds);
});
