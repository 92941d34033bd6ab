import { expect } from "chai";
import { CapacityLine } from "../../../scripts/capacity/CapacityLine";
import { formatRole } from "../../../scripts/capacity/formatRole";
import { Resource } from "../../../scripts/capacity/Resource";

describe("formatRole", () => {
    function doTest(slopes: readonly (number | undefined)[], expected: string): void {
        const lines = slopes.map((slope, index): CapacityLine => ({
            name: `Line ${index}`,
            resource: Resource.Processor,
            slope,
            slopeUnit: "a thing",
            count: 10,
            countName: "things",
            source: "scripts/measure/measureThings.ts",
            mechanism: "a mechanism",
            folder: "src/things",
            remedy: "another mechanism",
        }));
        const text = formatRole({ title: "Role", state: ["State."], isDedicatedInstance: false, lines, fits: [] });
        expect(text).to.contain(expected);
    }

    it("shows the margin to the budget", () =>
        doTest([500, 300], "Sum: 8,000 us/s. Within 12,000 us/s; margin 4,000 us/s."));
    it("shows a use above the budget", () => doTest([500, 900], "**Exceeds** 12,000 us/s; margin -2,000 us/s."));
    it("lists the remedies", () => doTest([1_300], "- Line 0: another mechanism."));
    it("is inconclusive if a line is not measured", () =>
        doTest([500, undefined], "Inconclusive: not measured, and not in the sum: Line 1"));
    it("shows a use above the budget even if a line is not measured", () =>
        doTest([1_300, undefined], "**Exceeds** 12,000 us/s"));
});
