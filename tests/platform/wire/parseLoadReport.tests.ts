import { expect } from "chai";
import { parseLoadReport } from "../../../platform/wire";

describe("parseLoadReport", () => {
    const figures = { running: 6, waiting: 3, slots: 8 };

    it("reads a fourth figure", () => {
        expect(parseLoadReport("6,3,8,170")).to.deep.equal({ ...figures, workPercent: 170 });
        expect(parseLoadReport("6, 3, 8, 99.5")).to.deep.equal({ ...figures, workPercent: 99.5 });
    });

    // A figure that divides or multiplies the load must not make a server's cost 0, negative or not a number.
    ["", ",", ",0", ",-5", ",NaN", ",Infinity", ",1e400", ",fast"].forEach(end => {
        it(`keeps the other figures without the fourth in "6,3,8${end}"`, () =>
            expect(parseLoadReport(`6,3,8${end}`)).to.deep.equal(figures));
    });

    it("rejects a load without the first three figures", () => {
        expect(parseLoadReport("6,,x,170")).to.equal(undefined);
        expect(parseLoadReport("6,3")).to.equal(undefined);
    });
});
