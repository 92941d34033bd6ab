import { expect } from "chai";
import { FaultName } from "../../src/experiment";
import { getPolicyResult } from "../../src/experiment/getPolicyResult";
import { RunOutcome } from "../../src/experiment/RunOutcome";
import { createCompletionRecord } from "./createCompletionRecord";
import { createServiceRecord } from "./createServiceRecord";

const options = { seconds: 60, warmUpSeconds: 10, faults: [FaultName.EngineCrash, FaultName.HeavySubscriber] };

function createOutcome(changes: Partial<RunOutcome> = {}): RunOutcome {
    return {
        policy: "prefix",
        records: [],
        runs: [],
        computedTokens: 1_000,
        wastedTokens: [100, 150, 350],
        eventLoopLagMilliseconds: 5,
        ...changes,
    };
}

describe("getPolicyResult", () => {
    it("leaves out requests of the warm-up", () => {
        const records = [5_000, 15_000].map(arrivalMilliseconds => createCompletionRecord({ arrivalMilliseconds }));
        expect(getPolicyResult(createOutcome({ records }), options)).to.include({ requests: 1, completed: 1 });
    });

    it("counts waste from the start of the measured time", () => {
        expect(getPolicyResult(createOutcome(), options).wastedRecomputationShare).to.equal(0.25);
    });

    it("counts refusals by code, and lost and broken requests separately", () => {
        const records = [
            createCompletionRecord({ arrivalMilliseconds: 20_000, outcome: "refused", code: "fair_share" }),
            createCompletionRecord({ arrivalMilliseconds: 20_000, outcome: "refused", code: "fair_share" }),
            createCompletionRecord({ arrivalMilliseconds: 20_000, outcome: "lost" }),
            createCompletionRecord({ arrivalMilliseconds: 20_000, outcome: "broken" }),
        ];
        const result = getPolicyResult(createOutcome({ records }), options);
        expect(result).to.include({ completed: 0, lostRequests: 1, brokenStreams: 1 });
        expect(result.refused).to.deep.equal({ fair_share: 2 });
    });

    it("separates short and long requests", () => {
        const records = [
            createCompletionRecord({ arrivalMilliseconds: 20_000, isShort: true, firstTokenMilliseconds: 10 }),
            createCompletionRecord({ arrivalMilliseconds: 20_000, isShort: false, firstTokenMilliseconds: 500 }),
        ];
        const times = getPolicyResult(createOutcome({ records }), options).timeToFirstTokenMilliseconds;
        expect([times.all.p99, times.short.p99, times.long.p99]).to.deep.equal([500, 10, 500]);
    });

    it("finds repeated runs and false refusals as not run, in the warm-up too", () => {
        const run = { action: "release", requestId: "request" };
        const records = [
            createServiceRecord("first"),
            createServiceRecord("second", { outcome: "refused", runState: "no" }),
        ];
        const runs = [{ ...run, key: "first" }, { ...run, key: "first" }, { ...run, key: "second" }];
        const result = getPolicyResult(createOutcome({ records, runs }), options);
        expect(result).to.include({ doubledRuns: 1, falseRefusals: 1 });
    });

    it("marks a run with too high an event loop lag as not trustworthy", () => {
        expect(getPolicyResult(createOutcome(), options).isTrustworthy).to.equal(true);
        const lagging = createOutcome({ eventLoopLagMilliseconds: 20.1 });
        expect(getPolicyResult(lagging, options).isTrustworthy).to.equal(false);
    });

    it("compares statistics before and after a fault in the middle of the measured time", () => {
        const records = [35_000, 40_100, 46_000].map(arrivalMilliseconds =>
            createCompletionRecord({ arrivalMilliseconds })
        );
        const { recoveries } = getPolicyResult(createOutcome({ records }), options);
        expect(recoveries.map(recovery => recovery.fault)).to.deep.equal([FaultName.EngineCrash]);
        const { after, atSeconds, before, firstSecond } = recoveries[0]!;
        expect([atSeconds, before.requests, firstSecond.requests, after.requests]).to.deep.equal([30, 1, 1, 1]);
    });
});
