import { expect } from "chai";
import { chooseLeastLoadedInstance, createLoadTracker, LoadReport } from "../../src/forwarding";
import { createRandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("chooseLeastLoadedInstance", () => {
    const requestsPerSecond = 3;

    /** Creates servers 0, 1, and so on, of which each has made one report often enough for its factor to be known. */
    function createTrial(reports: readonly (Partial<LoadReport> | undefined)[], dataCentres: readonly string[] = []) {
        const clock = createManualClock();
        const loads = createLoadTracker(clock, () => false, { getOthers: () => undefined });
        const random = createRandomSource(5);
        const instances = reports.map((...[, index]) =>
            createTestInstance({ instanceId: `${index}`, dataCentre: dataCentres[index] ?? "a" })
        );
        const report = (index: number) => {
            if (reports[index]) {
                loads.recordReport(`${index}`, { running: 0, waiting: 0, slots: 4, ...reports[index] });
            }
        };
        Array.from({ length: 100 }, () => reports.forEach((...[, index]) => report(index)));
        const choose = () => Number(chooseLeastLoadedInstance(instances, loads, "a", random)?.instanceId);
        return { clock, loads, report, choose };
    }

    /** Gets the share of the choices that each server gets while nothing changes. */
    function getShares(choose: () => number, count: number) {
        const choices = Array.from({ length: 600 }, choose);
        return Array.from({ length: count }, (...[, index]) => choices.filter(it => it === index).length / 600);
    }

    /** Sends requests that end at once, each with a report, and gets the share and the longest gap of each server. */
    async function playLightLoad(reports: readonly Partial<LoadReport>[], seconds: number) {
        const { clock, report, choose } = createTrial(reports);
        const servers = reports.map(() => ({ count: 0, lastMilliseconds: 0, longestGapMilliseconds: 0 }));
        for (let request = 0; request < requestsPerSecond * seconds; request++) {
            await clock.advance(1_000 / requestsPerSecond);
            const now = clock.getMonotonicMilliseconds();
            const index = choose();
            report(index);
            servers[index]!.count += 1;
            servers[index]!.lastMilliseconds = now;
            servers.forEach(server =>
                server.longestGapMilliseconds = Math.max(server.longestGapMilliseconds, now - server.lastMilliseconds)
            );
        }
        return {
            shares: servers.map(({ count }) => count / (requestsPerSecond * seconds)),
            longestGapMilliseconds: Math.max(...servers.map(server => server.longestGapMilliseconds)),
        };
    }

    // One fast server got all requests: the others, without evidence, counted as slower than it.
    it("sends requests to all idle servers, so that each is measured, at few requests a second", async () => {
        const reports = [70, 70, 170].map(workPercent => ({ workPercent }));
        const { shares, longestGapMilliseconds } = await playLightLoad(reports, 120);
        shares.slice(0, 2).forEach(share => expect(share).to.be.at.least(0.2));
        expect(shares[2]).to.be.within(0.03, 0.2);
        // Evidence is dropped after 5 s; of the 15 requests in 5 s more, some reach each server that counts as the fastest.
        expect(longestGapMilliseconds).to.be.at.most(10_000);
    });

    describe("with servers of which some report three figures", () => {
        // Servers that report three figures got no requests beside a fast one that reports four.
        it("serves these like the fastest one", () => {
            const { choose } = createTrial([{}, {}, { workPercent: 70 }, { workPercent: 170 }]);
            const shares = getShares(choose, 4);
            shares.slice(0, 3).forEach(share => expect(share).to.be.within(0.28, 0.39));
            expect(shares[3]).to.equal(0);
        });

        it("counts these as usual beside a slow one", () => {
            const { choose } = createTrial([{}, {}, { workPercent: 170 }]);
            const [first, second, slow] = getShares(choose, 3);
            expect([first, second].every(share => share! > 0.45)).to.equal(true);
            expect(slow).to.equal(0);
        });

        it("chooses the least loaded of these", () => {
            const { choose } = createTrial([{ running: 3 }, { running: 1 }, { workPercent: 70, running: 3 }]);
            expect(getShares(choose, 3)).to.deep.equal([0, 1, 0]);
        });
    });

    describe("with a server that failed recently", () => {
        // The work ahead at a slow server with few slots exceeded the fixed cost of a failure.
        it("prefers a working one, however slow and loaded", () => {
            const { loads, choose } = createTrial([
                { slots: 4, running: 4, waiting: 60, workPercent: 300 },
                { slots: 64, workPercent: 100 },
            ]);
            loads.recordFailure("1");
            expect(getShares(choose, 2)).to.deep.equal([1, 0]);
        });

        it("chooses the least loaded where all failed", () => {
            const { loads, choose } = createTrial([{ running: 4, workPercent: 100 }, { workPercent: 100 }]);
            ["0", "1"].forEach(loads.recordFailure);
            expect(getShares(choose, 2)).to.deep.equal([0, 1]);
        });
    });

    describe("with absurd reports", () => {
        // Two servers with 1e308 slots made the mean overflow, and no server was chosen at all.
        [1e308, Infinity, NaN, -4, 0, 0.5, 65_537].forEach(slots =>
            it(`ignores ${slots} slots`, () => {
                const workPercent = 150;
                const { choose } = createTrial([
                    { running: 3, slots, workPercent },
                    { running: 3, slots, workPercent },
                    { running: 1, workPercent },
                ]);
                expect(getShares(choose, 3)).to.deep.equal([0, 0, 1]);
            })
        );

        [undefined, 200].forEach(workPercent =>
            [1e308, Infinity, NaN].forEach(running =>
                it(`chooses another server than those with ${running} requests, at ${workPercent}%`, () => {
                    const absurd = { running, waiting: running, workPercent };
                    expect(getShares(createTrial([absurd, {}, absurd]).choose, 3)).to.deep.equal([0, 1, 0]);
                    expect(createTrial([absurd, absurd]).choose()).to.be.within(0, 1);
                })
            )
        );
    });

    // The slots were left out of the cost at exactly 100%, so that the choice changed between 100% and 101%.
    [99, 100, 101].forEach(workPercent =>
        it(`takes the slots into account where servers report ${workPercent}%`, () => {
            const { choose } = createTrial([
                { running: 4, slots: 4, workPercent },
                { running: 5, slots: 64, workPercent },
            ]);
            expect(getShares(choose, 2)).to.deep.equal([0, 1]);
        })
    );

    describe("with fast servers in another data centre", () => {
        const workPercent = 40;

        // The cost of the other data centre was more than that of a request at a fast server.
        it("prefers an idle one there to one with a request here", () => {
            const { choose } = createTrial([{ running: 1, workPercent }, { workPercent }], ["a", "b"]);
            expect(getShares(choose, 2)).to.deep.equal([0, 1]);
        });

        it("prefers one here among equals", () => {
            const { choose } = createTrial([{ workPercent }, { workPercent }], ["a", "b"]);
            expect(getShares(choose, 2)).to.deep.equal([1, 0]);
        });
    });
});
