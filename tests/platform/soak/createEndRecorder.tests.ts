import { expect } from "chai";
import { createEndRecorder } from "./createEndRecorder";
import { createRunTracker } from "./createRunTracker";
import { ExchangeOutcome } from "./createSoakClient";
import { createSoakLimitChanges } from "./createSoakLimitChanges";
import { SoakConnectionEnd } from "./SoakConnectionEnd";
import { SoakConnectionUse } from "./SoakConnectionUse";
import { SoakEndReason } from "./SoakEndReason";
import { SoakProcess } from "./SoakProcess";
import { SoakProxy } from "./startSoakProxy";

describe("createEndRecorder", () => {
    interface Input {
        reason: SoakEndReason;
        use?: SoakConnectionUse;
        status?: number;
        isWhole?: boolean;
        isStable?: boolean;
        isRunning?: boolean;
        isRefused?: boolean;
        hasRun?: boolean;
        stillMilliseconds?: number;
        elapsedMilliseconds?: number;
        routeMilliseconds?: number;
    }

    function doTest(input: Input, expected: { counts: Record<string, number>; breachCount: number; }): void {
        const { isStable = true, isRunning = true, isWhole = true, elapsedMilliseconds = 1_000 } = input;
        const runTracker = createRunTracker();
        runTracker.setStabilityCheck(() => isStable);
        const { recorder, requestId } = createRecorder(input, isRunning, runTracker);
        const end: SoakConnectionEnd = {
            reason: input.reason,
            detail: "",
            isWhole,
            remainingMilliseconds: 3_000 - elapsedMilliseconds,
            port: 1_000,
            use: input.use ?? SoakConnectionUse.Fresh,
            idleMilliseconds: 0,
            statedMilliseconds: 1_000,
        };
        const status = input.status ?? 0;
        const outcome: ExchangeOutcome = { status, seal: "", text: "", isComplete: false, elapsedMilliseconds, end };
        const sentMilliseconds = Date.now();
        const routeMilliseconds = input.routeMilliseconds ?? 3_000;
        recorder.record(
            { requestId, entryIndex: 0, sentMilliseconds, routeMilliseconds, wasStable: isStable },
            outcome,
        );
        expect({ counts: recorder.getCounts(), breachCount: runTracker.getBreaches().length }).to.deep.equal(expected);
    }

    function createRecorder(input: Input, isRunning: boolean, runTracker: ReturnType<typeof createRunTracker>) {
        const requestId = "1-a";
        if (input.hasRun === true) {
            runTracker.recordRun(requestId, "stayer", false);
        }
        const recorder = createEndRecorder({
            entries: [{ ip: "127.0.0.1", wasRunningSince: () => isRunning } as unknown as SoakProcess],
            callerProxies: [{ wasRefused: () => input.isRefused === true } as unknown as SoakProxy],
            runTracker,
            standstills: { getStillMilliseconds: () => input.stillMilliseconds ?? 0, stop: () => undefined },
            limits: createSoakLimitChanges(undefined),
        });
        return { recorder, requestId };
    }

    it("finds a request that its caller gave up at its limit", () =>
        doTest({ reason: SoakEndReason.CallerLimit, use: SoakConnectionUse.Kept }, {
            counts: { "callerLimit kept": 1 },
            breachCount: 1,
        }));
    it("finds it beside a process that is being stopped, as that answers too", () =>
        doTest({ reason: SoakEndReason.CallerLimit, isRunning: false }, {
            counts: { "callerLimit fresh": 1 },
            breachCount: 1,
        }));
    it("counts it where the soak stood still", () =>
        doTest(
            { reason: SoakEndReason.CallerLimit, stillMilliseconds: 60 },
            { counts: { "callerLimit fresh": 1 }, breachCount: 0 },
        ));
    it("counts it beside a fault", () =>
        doTest(
            { reason: SoakEndReason.CallerLimit, isStable: false },
            { counts: { "callerLimit fresh, beside a fault": 1 }, breachCount: 0 },
        ));
    it("leaves out callers that left", () =>
        doTest({ reason: SoakEndReason.CallerLeft }, { counts: {}, breachCount: 0 }));
    it("finds connections that were closed within the stated time", () => {
        doTest({ reason: SoakEndReason.Ended, use: SoakConnectionUse.Idle }, {
            counts: { "ended idle": 1 },
            breachCount: 1,
        });
        doTest({ reason: SoakEndReason.Reset, use: SoakConnectionUse.Kept }, {
            counts: { "reset kept": 1 },
            breachCount: 1,
        });
        doTest({ reason: SoakEndReason.Reset, use: SoakConnectionUse.Fresh }, {
            counts: { "reset fresh": 1 },
            breachCount: 1,
        });
    });
    it("counts those that a standstill of the soak made late", () =>
        doTest(
            { reason: SoakEndReason.Reset, use: SoakConnectionUse.Idle, stillMilliseconds: 1_000 },
            { counts: { "reset idle": 1 }, breachCount: 0 },
        ));
    it("counts those that were closed after it", () => {
        doTest({ reason: SoakEndReason.Ended, use: SoakConnectionUse.IdleBeyondStated }, {
            counts: { "ended idleBeyondStated": 1 },
            breachCount: 0,
        });
        doTest({ reason: SoakEndReason.Ended, use: SoakConnectionUse.IdleTooLong }, {
            counts: { "ended idleTooLong": 1 },
            breachCount: 0,
        });
    });
    it("finds those whose requests ran", () => {
        const input = { reason: SoakEndReason.Ended, hasRun: true };
        doTest({ ...input, use: SoakConnectionUse.IdleTooLong }, {
            counts: { "ended idleTooLong": 1 },
            breachCount: 1,
        });
        doTest({ ...input, isRunning: false }, { counts: { "processDisturbed fresh": 1 }, breachCount: 1 });
    });
    it("counts requests that cross the end of a process", () =>
        doTest({ reason: SoakEndReason.Ended, isRunning: false }, {
            counts: { "processDisturbed fresh": 1 },
            breachCount: 0,
        }));
    it("counts connections that were refused", () =>
        doTest({ reason: SoakEndReason.Reset, isRefused: true }, {
            counts: { "neverConnected fresh": 1 },
            breachCount: 0,
        }));
    it("counts requests of which a part was sent", () =>
        doTest({ reason: SoakEndReason.Reset, isWhole: false }, { counts: { "reset not whole": 1 }, breachCount: 0 }));
    it("finds answers that ended early", () =>
        doTest({ reason: SoakEndReason.Ended, status: 200, hasRun: true }, { counts: {}, breachCount: 1 }));
    it("leaves out answers that ended at the limit of the caller or the route", () => {
        const input = { reason: SoakEndReason.Ended, status: 200, hasRun: true };
        doTest({ ...input, elapsedMilliseconds: 3_000 }, { counts: {}, breachCount: 0 });
        doTest({ ...input, routeMilliseconds: 1_000 }, { counts: {}, breachCount: 0 });
        doTest({ ...input, reason: SoakEndReason.CallerLimit }, { counts: {}, breachCount: 0 });
    });
});
