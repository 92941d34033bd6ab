import { expect } from "chai";
import { createMeasuredFigures } from "../../../scripts/capacity/createMeasuredFigures";
import { FigureSet } from "../../../scripts/measure/FigureSet";

describe("createMeasuredFigures", () => {
    const sets: readonly FigureSet[] = [{
        command: "node scripts/measure/measureThings.ts",
        outcome: "finished",
        figures: [10, 20, 30, 40].map(count => ({
            name: `things.${count}.processor`,
            value: 5 + 3 * count + (count === 30 ? 19 : 0),
            unit: "us/s",
        })),
    }];
    const measuredFigures = createMeasuredFigures(sets);

    describe("getValue", () => {
        it("returns the value of a figure", () => expect(measuredFigures.getValue("things.10.processor")).to.equal(35));
        it("returns undefined for a figure that was not measured", () =>
            expect(measuredFigures.getValue("things.11.processor")).to.equal(undefined));
    });

    describe("getSource", () => {
        function doTest(name: string, source: string): void {
            expect(measuredFigures.getSource(name)).to.equal(source);
        }

        it("returns the path of the script", () => doTest("things.10.processor", "scripts/measure/measureThings.ts"));
        it("returns a text for a figure that was not measured", () => doTest("others", "not measured yet"));
    });

    describe("fit", () => {
        it("fits a line without the validation point", () => {
            const line = measuredFigures.fitLine("things.{N}.processor", [10, 20, 40], 30)!;
            expect(line.slope).to.be.closeTo(3, 1e-9);
            expect(line.intercept).to.be.closeTo(5, 1e-9);
            expect(line.predictedValue).to.be.closeTo(95, 1e-9);
            expect(line.measuredValue).to.equal(114);
        });

        it("uses the counts that were achieved", () => {
            const line = measuredFigures.fitLine("things.{N}.processor", [10, 20, 40], 30, count => count / 2)!;
            expect(line.slope).to.be.closeTo(6, 1e-9);
            expect(line.validationCount).to.equal(15);
        });

        it("returns undefined if a point is missing", () => {
            expect(measuredFigures.fitLine("things.{N}.processor", [10, 20, 50], 30)).to.equal(undefined);
            expect(measuredFigures.fitLine("things.{N}.processor", [10, 20, 40], 31)).to.equal(undefined);
        });
    });
});
