import { expect } from "chai";
import { PlacementSimulationOptions, simulatePlacement } from "./simulatePlacement";

describe("placement of prompts by many entry processes", () => {
    const sizes = [
        { entryCount: 5, engineCount: 8 },
        { entryCount: 30, engineCount: 33 },
        { entryCount: 68, engineCount: 55 },
        { entryCount: 300, engineCount: 160 },
    ];
    const load = { seed: 7, summariesPerSecond: 3, labelsPerSecond: 6 };

    function getLateShares(options: Omit<PlacementSimulationOptions, "sharesLoads">) {
        return [true, false].map(sharesLoads => simulatePlacement({ ...options, sharesLoads }).lateShare) as [
            number,
            number,
        ];
    }

    for (const size of sizes) {
        it(`serves a hot document in time with ${size.entryCount} entry processes, by the load of all of them`, () => {
            const { lateShare } = simulatePlacement({ ...load, ...size, hotShare: 0.27, sharesLoads: true });
            expect(lateShare).to.be.at.most(0.05);
        });

        it(`is no worse with ${size.entryCount} entry processes without a hot document`, () => {
            const [shared, separate] = getLateShares({ ...load, ...size });
            expect(shared).to.be.at.most(separate + 0.01);
        });
    }

    it("halves the requests that overfill engines' memory, where requests run for long", () => {
        const [shared, separate] = [true, false].map(sharesLoads =>
            simulatePlacement({
                seed: 7,
                ...sizes[2]!,
                summariesPerSecond: 2.4,
                labelsPerSecond: 4.6,
                decodeMilliseconds: 2_000,
                sharesLoads,
            }).overfullShare
        );
        expect(shared).to.be.at.most(separate! / 2);
    });

    it("halves the late requests at least where many entry processes see little of a hot document each", () => {
        for (const size of sizes.slice(1)) {
            const [shared, separate] = getLateShares({ ...load, ...size, hotShare: 0.27 });
            expect(shared).to.be.at.most(separate / 2);
        }
    });

    it("halves the late requests at engines of unequal speed that report it", () => {
        const [reported, unreported] = [true, false].map(reportsSpeeds =>
            simulatePlacement({
                seed: 7,
                ...sizes[1]!,
                summariesPerSecond: 2.4,
                labelsPerSecond: 4.6,
                sharesLoads: true,
                lastingFactors: [0.7, 0.7, 1.7],
                reportsSpeeds,
            }).lateShare
        );
        expect(reported).to.be.at.most(unreported! / 2);
    });
});
