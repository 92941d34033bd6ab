import { expect } from "chai";
import { LossCause } from "../../src/crashQuarantine";
import { AttemptEnd } from "../../src/forwarding/AttemptEnd";
import { endObservedRun } from "../../src/forwarding/endObservedRun";
import { ForwardingTask } from "../../src/forwarding/ForwardingTask";
import { SupersededReason } from "../../src/forwarding/SupersededReason";

describe("endObservedRun", () => {
    interface Attempt {
        end: AttemptEnd;
        hasEnded?: boolean;
        isServerSilent?: boolean;
        supersededReason?: SupersededReason;
    }

    function doTest(attempt: Attempt, expected: string): void {
        const calls: string[] = [];
        const observedRun = {
            recordBegin: () => undefined,
            complete: () => void calls.push("complete"),
            lose: (cause: LossCause) => void calls.push(`lose by ${cause}`),
            end: () => void calls.push("end"),
        };
        const controller = new AbortController();
        if (attempt.hasEnded) {
            controller.abort();
        }
        const { supersededReason, end, isServerSilent = false } = attempt;
        const task = { observedRun, signal: controller.signal, supersededReason };
        endObservedRun(task as unknown as ForwardingTask, end, isServerSilent);
        expect(calls).to.deep.equal([expected]);
    }

    it("tells a whole response", () => doTest({ end: "complete" }, "complete"));
    it("tells a refusal", () => doTest({ end: "other" }, "end"));
    it("tells a connection that has ended", () => doTest({ end: "lost" }, "lose by connection"));
    it("tells a silent server", () => doTest({ end: "lost", isServerSilent: true }, "lose by silence"));
    it("tells a run that was ended since its server was silent", () =>
        doTest({ end: "lost", hasEnded: true, supersededReason: SupersededReason.Silent }, "lose by silence"));
    it("takes no response that ended with its request for a loss", () =>
        doTest({ end: "lost", hasEnded: true }, "end"));
});
