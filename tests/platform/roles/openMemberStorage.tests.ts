import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { openMemberStorage } from "../../../platform/roles/openMemberStorage";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createSystemClock } from "../../../src/runtime";

describe("openMemberStorage", () => {
    let parent: string;
    beforeEach(() => parent = mkdtempSync(join(tmpdir(), "member-")));
    afterEach(() => rmSync(parent, { recursive: true, force: true }));

    it("opens the folder once its disk can be used", async () => {
        const blocked = join(parent, "disk");
        writeFileSync(blocked, "not a folder");
        let tryCount = 0;
        const sleep = () => {
            tryCount += 1;
            if (tryCount === 3) {
                rmSync(blocked);
            }
            return Promise.resolve();
        };
        const opened = await openMemberStorage({
            folder: join(blocked, "data"),
            clock: { ...createSystemClock(), sleep },
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        expect(tryCount).to.equal(3);
        await opened?.waitForDisk();
        await opened?.storage.stop();
    });
});
