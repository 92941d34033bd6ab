import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runSoak } from "./runSoak";
import { soakRegressions } from "./soakRegressions";

describe("the soak of the platform's programs", function() {
    this.timeout(180_000);

    const faultMilliseconds = 6_000;
    const ciSeeds = [1, 2];
    const folder = mkdtempSync(join(tmpdir(), "soak-"));

    before(() => {
        expect(spawnSync(process.execPath, ["scripts/buildPlatform.mjs"]).status).to.equal(0);
    });

    for (const seed of ciSeeds) {
        it(`keeps its promises under the faults of seed ${seed}`, () => doTest(seed));
    }
    for (const { seed, cause } of soakRegressions) {
        it(`keeps its promises under seed ${seed}, which failed before: ${cause}`, () => doTest(seed));
    }

    async function doTest(seed: number): Promise<void> {
        const { breaches, faults, served } = await runSoak(seed, join(folder, String(seed)), faultMilliseconds);
        expect(breaches, `after ${faults.join("; ")}`).to.deep.equal([]);
        expect(served).to.be.greaterThan(0);
    }
});
