import { expect } from "chai";
import { RequestSimulationOptions, simulateCrashingRequests } from "../crashQuarantine/simulateCrashingRequests";

describe("createForwarder, with a request that crashes the servers that run it", () => {
    const seeds = [1, 2, 3];
    const maximumLateRuns = 3;
    const restarts = { restartIntervalMilliseconds: 1_000, lostShare: 0.1 };

    async function doTest(options: Omit<RequestSimulationOptions, "seed">): Promise<void> {
        for (const seed of seeds) {
            const { lateRuns, falseVerdicts } = await simulateCrashingRequests({ ...options, seed });
            expect(Math.max(0, ...lateRuns), `late runs of seed ${seed}`).to.be.at.most(maximumLateRuns);
            expect(falseVerdicts, `sound requests refused with seed ${seed}`).to.deep.equal([]);
        }
    }

    it("stops sending it after three plain servers have ended under it", () => doTest({ twin: "otherBody" }));
    it("stops sending it after three engines have ended under it", () =>
        doTest({ kind: "engine", twin: "otherWorkspace" }));
    it("stops sending it where it comes often", () => doTest({ guiltyIntervalMilliseconds: 350 }));
    it("stops sending one that crashes most of its runs", () => doTest({ crashShare: 0.6 }));
    it("stops sending it beside crash storms", () => doTest({ stormMilliseconds: [6_000, 9_000, 12_000] }));
    it("stops sending it while control can't be reached", () => doTest({ controlCutMilliseconds: [4_000, 20_000] }));
    it("stops sending it when the leader changes", () =>
        doTest({ leaderChangeMilliseconds: [5_200, 5_900, 10_500, 11_000] }));
    it("stops sending it when entry processes are restarted", () =>
        doTest({ entryRestartMilliseconds: [5_300, 5_600, 6_000, 10_000, 10_300] }));
    it("stops sending it to a service of two servers", () => doTest({ serverCount: 2 }));
    it("stops sending it from one entry process", () => doTest({ entryCount: 1 }));
    it("stops sending it while servers restart in turn and lose answers", () => doTest(restarts));
    it("stops sending it while engines restart in turn and lose answers", () =>
        doTest({ ...restarts, kind: "engine" }));
    it("refuses no request that is lost beside a planned restart of its server", () =>
        doTest({ ...restarts, guiltyRequests: 0, restartIntervalMilliseconds: 500 }));
    it("refuses no request that is lost beside a planned restart of its engine", () =>
        doTest({ ...restarts, guiltyRequests: 0, kind: "engine", restartIntervalMilliseconds: 300 }));
    it("refuses no request in crash storms", () =>
        doTest({ guiltyRequests: 0, stormMilliseconds: [6_000, 9_000, 12_000, 15_000] }));
    it("refuses no request where a server crashes each second", () =>
        doTest({ guiltyRequests: 0, otherCrashesPerSecond: 1 }));
});
