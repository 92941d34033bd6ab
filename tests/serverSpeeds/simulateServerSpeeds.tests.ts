import { expect } from "chai";
import { chooseLeastLoadedInstance, createLoadTracker } from "../../src/forwarding";
import { createRandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { simulateServerSpeeds, SpeedSimulationOptions } from "./simulateServerSpeeds";

describe("requests at plain servers of unequal speed", () => {
    const lastingFactors = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7];

    function simulate(load: number, getReportedPercent: SpeedSimulationOptions["getReportedPercent"]) {
        const options = { seed: 7, entryCount: 26, lastingFactors, slots: 4, load };
        return simulateServerSpeeds({ ...options, getReportedPercent });
    }

    it("are late less than half as often near capacity if servers report their speed", () => {
        const reported = simulate(0.9, percent => percent);
        const unreported = simulate(0.9, () => undefined);
        expect(reported.lateShare).to.be.at.most(unreported.lateShare / 2);
    });

    it("still reach slow servers under low load, so that these are measured", () => {
        const { shares, meanError } = simulate(0.4, percent => percent);
        shares.forEach(share => expect(share).to.be.at.least(0.01));
        expect(meanError).to.be.at.most(0.2);
    });

    it("are served as without reports after the reports stop", () => {
        const stopped = simulate(0.8, (percent, milliseconds) => milliseconds < 4_000 ? percent : undefined);
        const unreported = simulate(0.8, () => undefined);
        expect(stopped.lateShare).to.be.at.most(unreported.lateShare + 0.01);
    });

    it("go to the same servers as before where these report three figures", () => {
        const instances = lastingFactors.map((...[, index]) =>
            createTestInstance({ instanceId: `${index}`, dataCentre: index % 2 === 0 ? "a" : "b" })
        );
        const loads = createLoadTracker(createManualClock(), () => false, { getOthers: () => undefined });
        const [random, formerRandom, state] = [3, 3, 4].map(createRandomSource);
        for (let round = 0; round < 2_000; round++) {
            const id = `${state!.getInteger(instances.length)}`;
            loads.recordReport(id, {
                running: state!.getInteger(9) + (round % 50 === 0 ? 2_000 : 0),
                waiting: state!.getInteger(4),
                slots: 1 + round % 7,
            });
            if (round % 3 === 0) {
                loads.recordFailure(`${state!.getInteger(instances.length)}`);
            }
            const costs = instances.map(({ instanceId, dataCentre }) =>
                loads.getRequestCount(instanceId) + (dataCentre === "a" ? 0 : 0.5)
                + (loads.isSuspected(instanceId) ? 1_000 : 0) + formerRandom!.getFraction() / 4
            );
            const expected = instances[costs.indexOf(Math.min(...costs))];
            expect(chooseLeastLoadedInstance(instances, loads, "a", random!)).to.equal(expected);
        }
    });
});
