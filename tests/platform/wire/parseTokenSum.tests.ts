import { expect } from "chai";
import { parseTokenSum } from "../../../platform/wire";

describe("parseTokenSum", () => {
    function doTest(tokenCounts: string | undefined, expected: number | undefined) {
        expect(parseTokenSum(tokenCounts)).to.equal(expected);
    }

    it("adds up the tokens of the prompt and of the response", () => doTest("2300, 100", 2_400));
    it("counts the prompt where the response is missing", () => doTest("2300", 2_300));
    [undefined, "", "many", "-5,10", "1e9,1", "1,2,3"].forEach(text =>
        it(`gets none from ${text}`, () => doTest(text, undefined))
    );
});
