import { expect } from "chai";
import { createMetrics, GaugeName } from "../../src/metrics";

describe("createMetrics", () => {
    describe("addGauge", () => {
        it("shows the maximum value where two roles of a process register the same gauge", async () => {
            const metrics = createMetrics();
            metrics.addGauge(GaugeName.DirectorySize, () => 2);
            metrics.addGauge(GaugeName.DirectorySize, () => 3);
            expect(await metrics.getText()).to.contain("basilwing_directory_size 3");
        });
    });
});
