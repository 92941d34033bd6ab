import { expect } from "chai";
import { getDemoTable } from "../../../src/experiment";
import { RequestRecord } from "../../../src/experiment/client";
import { getDemoResult } from "../../../src/experiment/demo/getDemoResult";
import { createCompletionRecord } from "../createCompletionRecord";
import { createServiceRecord } from "../createServiceRecord";

describe("getDemoResult", () => {
    const run = { action: "release", key: "first", requestId: "request" };

    function doTest(records: readonly RequestRecord[], runs: readonly typeof run[], expectedFailing: string[]): void {
        const result = getDemoResult(records, runs, undefined);
        const failing = result.checks.filter(check => !check.holds).map(check => check.name);
        expect(failing).to.deep.equal(expectedFailing);
        expectedFailing.forEach(name => expect(getDemoTable(result)).to.contain(`FAILS: ${name}`));
    }

    it("holds if every request succeeded", () =>
        doTest([createCompletionRecord(), createServiceRecord("first")], [run], []));
    it("holds if a call that was refused as not run did not run", () =>
        doTest([createServiceRecord("first", { outcome: "refused", runState: "no" })], [], []));
    it("fails if a stream is broken", () =>
        doTest([createCompletionRecord({ outcome: "broken" })], [], ["every stream is complete"]));
    it("fails if a release ran twice", () =>
        doTest([createServiceRecord("first")], [run, run], ["no release ran twice"]));
    it("fails if a call that was refused as not run did run", () =>
        doTest(
            [createServiceRecord("first", { outcome: "refused", runState: "no" })],
            [run],
            ["every \"not run\" is true"],
        ));
    it("fails if a completed release never ran", () =>
        doTest([createServiceRecord("first")], [], ["every answered release ran"]));
});
