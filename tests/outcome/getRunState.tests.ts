import { expect } from "chai";
import { combineRunStates, getRunState, RunEvidence } from "../../src/outcome";
import { RunState } from "../../src/protocol";

describe("getRunState", () => {
    function doTest(evidence: RunEvidence, expected: RunState): void {
        expect(getRunState(evidence)).to.equal(expected);
    }

    it("of a fresh request refused at the entry process", () =>
        doTest({ kind: "refusedAtEntry", mayHaveRunBefore: false }, RunState.NOT_RUN));
    it("of a possible resend refused at the entry process", () =>
        doTest({ kind: "refusedAtEntry", mayHaveRunBefore: true }, RunState.UNKNOWN));
    it("of a sidecar that refused the connection", () => doTest({ kind: "sidecarNotConnected" }, RunState.NOT_RUN));
    it("of a response that was lost", () => doTest({ kind: "responseLost" }, RunState.UNKNOWN));
    it("of a sidecar that is lost", () => doTest({ kind: "sidecarLost" }, RunState.UNKNOWN));
    it("of a forbidden attempt number", () => doTest({ kind: "attemptForbidden" }, RunState.NOT_RUN));
    it("of a backend server that could not be reached", () =>
        doTest({ kind: "backendFailed", hasSent: false }, RunState.NOT_RUN));
    it("of a backend server lost after the first byte", () =>
        doTest({ kind: "backendFailed", hasSent: true }, RunState.UNKNOWN));
    it("of a sidecar that reported no run state", () =>
        doTest({ kind: "sidecarReported", runState: RunState.UNSPECIFIED }, RunState.UNKNOWN));

    describe("combineRunStates", () => {
        function doTest(first: RunState, second: RunState, expected: RunState): void {
            expect(combineRunStates(first, second)).to.equal(expected);
            expect(combineRunStates(second, first)).to.equal(expected);
        }

        it("gives ran where one attempt ran", () => doTest(RunState.RAN, RunState.UNKNOWN, RunState.RAN));
        it("gives unknown where one attempt is unknown and none ran", () =>
            doTest(RunState.UNKNOWN, RunState.NOT_RUN, RunState.UNKNOWN));
        it("gives not run where both are proven not to have run", () =>
            doTest(RunState.NOT_RUN, RunState.NOT_RUN, RunState.NOT_RUN));
    });
});
