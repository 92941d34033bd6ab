import { expect } from "chai";
import { chooseLeastLoadedInstance, createLoadTracker } from "../../src/forwarding";
import { createRandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { simulateServerSpeeds, SpeedSimulationOptions } from "./simulateServerSpeeds";

describe("requests at plain servers of unequal speed", () => {
    const lastingFactors = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7];

    /** The speeds after a change, in which each slow server becomes fast. */
    const swappedFactors = [1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7];

    function simulate(
        load: number,
        getReportedPercent: SpeedSimulationOptions["getReportedPercent"],
        changes: Partial<SpeedSimulationOptions> = {},
    ) {
        const options = { seed: 7, entryCount: 26, lastingFactors, slots: 4, load };
        return simulateServerSpeeds({ ...options, getReportedPercent, ...changes });
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

    // A factor that is kept after the last report does no harm while the servers keep their speed, so they swap it here.
    it("are served as without reports after the reports stop", () => {
        const stopMilliseconds = 4_000;
        const stopped = simulate(0.8, (percent, time) => time < stopMilliseconds ? percent : undefined);
        expect(new Set(stopped.lastWorkFactors)).to.deep.equal(new Set([1]));
        const [swapped, unreported] = [stopMilliseconds, 0].map(reportEnd =>
            simulate(0.8, (percent, time) => time < reportEnd ? percent : undefined, {
                warmUpMilliseconds: stopMilliseconds + 5_000,
                endMilliseconds: 19_000,
                swap: { milliseconds: stopMilliseconds, lastingFactors: swappedFactors },
            })
        );
        expect(swapped!.lateShare).to.be.at.most(unreported!.lateShare + 0.01);
    });

    // Unknown servers counted as slower than a fast one, which got all requests at light load.
    [1, 3].forEach(entryCount =>
        [0.02, 0.05, 0.1].forEach(load =>
            it(`reach all idle servers at a load of ${load}, with ${entryCount} entry processes`, () => {
                const { shares, longestGapMilliseconds } = simulateServerSpeeds({
                    seed: 7,
                    entryCount,
                    lastingFactors: [0.7, 0.7, 1.7],
                    slots: 4,
                    load,
                    endMilliseconds: 60_000,
                    getReportedPercent: percent => percent,
                });
                shares.forEach((share, index) => expect(share).to.be.at.least(index === 2 ? 0.01 : 0.2));
                // A server's evidence is dropped after 5 s, and then it is chosen like the fastest one.
                expect(longestGapMilliseconds).to.be.at.most(10_000);
            })
        )
    );

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
