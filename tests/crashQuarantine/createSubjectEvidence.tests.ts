import { expect } from "chai";
import { createSubjectEvidence, requestSubjectPrefix } from "../../src/crashQuarantine";
import { createManualClock, ManualClock } from "../support/createManualClock";
import { CrashSimulationOptions, simulateCrashes } from "./simulateCrashes";

describe("createSubjectEvidence", () => {
    /** Adds a crash of an engine each second, with the parts of the requests whose responses had just begun. */
    async function createEvidence(crashes: readonly (readonly string[])[], clock: ManualClock = createManualClock()) {
        const evidence = createSubjectEvidence(clock);
        for (const [index, subjectIds] of crashes.entries()) {
            evidence.addObservation(createObservation(`engine-${index}`, subjectIds));
            await clock.advance(1_000);
        }
        return { evidence, clock, getGuiltyIds: () => evidence.getGuiltySubjects().map(({ subjectId }) => subjectId) };
    }

    function createObservation(instanceId: string, begunSubjectIds: readonly string[], reporter = "1") {
        const reportId = `${reporter}.${instanceId}`;
        return { reportId, instanceId, ageMilliseconds: 0, begunSubjectIds, waitingSubjectIds: [] };
    }

    async function getGuilty(crashes: readonly (readonly string[])[]): Promise<readonly string[]> {
        return (await createEvidence(crashes)).getGuiltyIds();
    }

    it("finds the part that was in flight at four crashes", async () => {
        const crashes = [["a", "bad"], ["b", "bad"], ["c", "bad"]];
        expect(await getGuilty(crashes)).to.deep.equal([]);
        expect(await getGuilty([...crashes, ["a", "bad"]])).to.deep.equal(["bad"]);
    });

    it("accuses no part of crashes that another one explains", async () => {
        const crashes = [["a", "bad"], ["a", "bad"], ["a", "bad"], ["a", "bad"], ["bad"]];
        expect(await getGuilty(crashes)).to.deep.equal(["bad"]);
    });

    it("finds several guilty parts", async () => {
        const crashes = [["x"], ["y"], ["x"], ["y"], ["x"], ["y"], ["x"], ["y"]];
        expect([...await getGuilty(crashes)].sort()).to.deep.equal(["x", "y"]);
    });

    it("joins the observations of several entry processes, and counts a repeated one once", async () => {
        const { evidence, clock, getGuiltyIds } = await createEvidence([["bad"], ["bad"], ["bad"]]);
        evidence.addObservation(createObservation("engine-2", ["bad"]));
        evidence.addObservation({ ...createObservation("engine-2", ["bad"], "2"), ageMilliseconds: 1_000 });
        await clock.advance(1_000);
        expect(getGuiltyIds()).to.deep.equal([]);
        evidence.addObservation({ ...createObservation("engine-0", ["bad"], "3") });
        await clock.advance(1_000);
        expect(getGuiltyIds()).to.deep.equal(["bad"]);
    });

    it("clears a part that requests complete with", async () => {
        const { evidence, clock, getGuiltyIds } = await createEvidence([["a"], ["a"], ["a"], ["a"]]);
        evidence.setCompletions("entry-1", new Map([["a", [500, 1_500]]]));
        evidence.setCompletions("entry-2", new Map([["a", [700, 1_700]]]));
        expect(getGuiltyIds()).to.deep.equal([]);
        await clock.advance(100);
        evidence.setCompletions("entry-2", new Map([["a", [800]]]));
        expect(getGuiltyIds()).to.deep.equal(["a"]);
    });

    it("accuses no sound part that completes about as often as the others while engines keep crashing", async () => {
        const crashes = [["a", "bad"], ["a", "b"], ["a", "b"], ["a", "bad"], ["a", "b"], ["a", "b"], ["a"]];
        const { evidence, getGuiltyIds } = await createEvidence(crashes);
        const ages = [500, 1_500, 2_500, 3_500, 4_500, 5_500];
        evidence.setCompletions("entry-1", new Map([["a", ages], ["b", ages.slice(0, 5)]]));
        expect(getGuiltyIds()).to.deep.equal([]);
    });

    it("accuses a part that completes more rarely than the others", async () => {
        const crashes = [["a", "bad"], ["b", "bad"], ["a", "bad"], ["b", "bad"], ["a", "bad"]];
        const { evidence, getGuiltyIds } = await createEvidence(crashes);
        const ages = [500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000];
        evidence.setCompletions("entry-1", new Map([["a", ages], ["b", ages], ["bad", [700, 1_700, 2_700]]]));
        expect(getGuiltyIds()).to.deep.equal(["bad"]);
    });

    it("does not let completions from before the crashes clear a part", async () => {
        const { evidence, getGuiltyIds } = await createEvidence([["a"], ["a"], ["a"], ["a"]]);
        evidence.setCompletions("entry-1", new Map([["a", [8_000, 8_100, 8_200, 8_300, 8_400]]]));
        expect(getGuiltyIds()).to.deep.equal(["a"]);
    });

    it("counts crashes at the same moment once", async () => {
        const clock = createManualClock();
        const { evidence, getGuiltyIds } = await createEvidence([], clock);
        ["1", "2", "3", "4", "5"].forEach(id => evidence.addObservation(createObservation(id, ["a"])));
        await clock.advance(1_000);
        expect(getGuiltyIds()).to.deep.equal([]);
    });

    it("decides only once the observations of the decisive crash have arrived", async () => {
        const { evidence, clock, getGuiltyIds } = await createEvidence([["bad"], ["bad"], ["bad"]]);
        evidence.addObservation(createObservation("engine-9", ["bad"]));
        await clock.advance(500);
        expect(getGuiltyIds()).to.deep.equal([]);
        await clock.advance(100);
        expect(getGuiltyIds()).to.deep.equal(["bad"]);
    });

    it("suspects a part of two crashes, and forgets crashes after a minute", async () => {
        const { evidence, clock } = await createEvidence([["a", "bad"], ["bad"]]);
        expect(evidence.getSuspects()).to.deep.equal(["bad"]);
        await clock.advance(60_000);
        expect(evidence.getSuspects()).to.deep.equal([]);
    });

    it("accuses no part of explained crashes, also when they are reported again", async () => {
        const { evidence, getGuiltyIds } = await createEvidence([["bad"], ["bad"], ["bad"], ["bad"]]);
        evidence.explainCrashes(new Set(["bad"]));
        evidence.addObservation({ ...createObservation("engine-0", ["bad"]), ageMilliseconds: 4_000 });
        expect(getGuiltyIds()).to.deep.equal([]);
    });

    describe("where no response had begun", () => {
        /** Gets the guilty parts after crashes at which their requests only waited, and crashes at which they had begun. */
        async function doTest(
            { waiting = [], begun = [] }: { waiting?: readonly string[][]; begun?: readonly string[][]; },
            expected: readonly string[],
        ): Promise<void> {
            const clock = createManualClock();
            const evidence = createSubjectEvidence(clock);
            for (const [index, waitingSubjectIds] of waiting.entries()) {
                evidence.addObservation({ ...createObservation(`engine-${index}`, []), waitingSubjectIds });
                await clock.advance(1_000);
            }
            for (const [index, subjectIds] of begun.entries()) {
                evidence.addObservation(createObservation(`other-${index}`, subjectIds));
                await clock.advance(1_000);
            }
            expect(evidence.getGuiltySubjects().map(({ subjectId }) => subjectId)).to.deep.equal(expected);
        }

        const repeat = (count: number, ids: string[]) => Array<string[]>(count).fill(ids);

        it("accuses no part of a few crashes, as of engines that have ended otherwise", () =>
            doTest({ waiting: repeat(7, ["a"]) }, []));
        it("accuses a part of twice as many crashes", () => doTest({ waiting: repeat(8, ["a"]) }, ["a"]));
        it("counts no such crash beside those at which a response had begun", () =>
            doTest({ waiting: repeat(7, ["a"]), begun: repeat(3, ["a", "bad"]) }, []));
        it("finds a part in spite of many such crashes without it", () =>
            doTest(
                { waiting: Array.from({ length: 25 }, (...[, index]) => [`x${index}`]), begun: repeat(4, ["bad"]) },
                [
                    "bad",
                ],
            ));
        it("finds a part in spite of many such crashes among its own", () =>
            doTest({
                waiting: [["bad"], ...Array.from({ length: 25 }, (...[, index]) => [`x${index}`])],
                begun: repeat(4, ["bad"]),
            }, ["bad"]));
    });

    it("accuses no sound part that was at some crashes of a guilty request without it, and at some of a guilty part", async () => {
        const request = `${requestSubjectPrefix}bad`;
        const crashes = [[request, "own"], [request, "own"], [request, "own", "x"], [request, "own", "x"], [
            "x",
            "bad",
        ]];
        expect(await getGuilty([...crashes, ["x", "bad"]])).to.deep.equal([request]);
    });

    it("accuses no sound part that was at most crashes of a guilty part, and at some of a guilty request without it", async () => {
        const request = `${requestSubjectPrefix}bad`;
        const crashes = [["x", "bad"], [request], [request, "x"], ["x", "bad"], ["x", "bad"], [request], [
            request,
            "x",
        ]];
        const { evidence, getGuiltyIds } = await createEvidence([...crashes, ["x", "bad"]]);
        evidence.setCompletions("entry-1", new Map([["x", [2_500]]]));
        expect(getGuiltyIds()).to.deep.equal(["bad", request]);
    });

    it("finds a guilty part of a request that was at few crashes without it", async () => {
        const request = `${requestSubjectPrefix}sound`;
        const crashes = [[request, "bad"], [request, "bad"], ["y", "bad"], ["z", "bad"], ["bad"], ["bad"]];
        expect(await getGuilty([...crashes, [request, "other"]])).to.include("bad");
    });

    describe("with whole requests", () => {
        /** Adds crashes with the requests in flight and the times between them; gets the guilty requests at the end. */
        async function doTest(
            crashes: readonly (readonly [gapMilliseconds: number, ...requests: string[]])[],
            expected: readonly string[],
        ): Promise<void> {
            const clock = createManualClock();
            const evidence = createSubjectEvidence(clock);
            for (const [index, [gapMilliseconds, ...requests]] of crashes.entries()) {
                await clock.advance(gapMilliseconds);
                const waitingSubjectIds = requests.map(name => requestSubjectPrefix + name);
                evidence.addObservation({ ...createObservation(`server-${index}`, []), waitingSubjectIds });
            }
            await clock.advance(600);
            const guilty = evidence.getGuiltySubjects().map(({ subjectId }) => subjectId);
            expect(guilty.sort()).to.deep.equal(expected.map(name => requestSubjectPrefix + name));
        }

        it("finds the request that was in flight at three crashes", () =>
            doTest([[0, "a", "bad"], [100, "b", "bad"], [200, "c", "bad"]], ["bad"]));
        it("accuses no request of two crashes", () => doTest([[0, "bad"], [40, "bad"]], []));
        it("counts two crashes under the attempts of one request", () =>
            doTest([[0, "bad"], [40, "bad"], [5_000, "bad"]], ["bad"]));
        it("counts crashes at the same moment once", () => doTest([[0, "a"], [5, "a"], [5_000, "a"]], []));
        it("accuses neither of two requests that were in flight at the same three crashes", () =>
            doTest([[0, "a", "bad"], [40, "a", "bad"], [100, "a", "bad"]], []));
        it("finds which of two requests it was by a fourth crash", () =>
            doTest([[0, "a", "bad"], [40, "a", "bad"], [100, "a", "bad"], [5_000, "bad"]], ["bad"]));
        it("finds two requests that crash servers at other times", () =>
            doTest([[0, "x"], [1_000, "y"], [1_000, "x"], [1_000, "y"], [1_000, "x"], [1_000, "y"]], ["x", "y"]));
        it("remembers a crash for minutes", () => doTest([[0, "bad"], [200_000, "bad"], [200_000, "bad"]], ["bad"]));
        it("forgets a crash after ten minutes", () => doTest([[0, "bad"], [300_000, "bad"], [300_000, "bad"]], []));

        it("clears a request that completes twice as often as it is in flight at crashes", () => {
            const clock = createManualClock();
            const evidence = createSubjectEvidence(clock);
            const subjectId = `${requestSubjectPrefix}a`;
            for (const count of [0, 1, 2]) {
                const observation = createObservation(`server-${count}`, []);
                evidence.addObservation({
                    ...observation,
                    ageMilliseconds: 3_000 - 1_000 * count,
                    waitingSubjectIds: [subjectId],
                });
            }
            const getSuspectsAfter = (completions: number) => {
                evidence.setCompletions("entry-1", new Map([[subjectId, Array<number>(completions).fill(500)]]));
                return evidence.getSuspects();
            };
            expect([getSuspectsAfter(5), getSuspectsAfter(6)]).to.deep.equal([[subjectId], []]);
        });

        const bad = `${requestSubjectPrefix}bad`;
        const other = `${requestSubjectPrefix}other`;
        const doPartTest = async (
            crashes: readonly (readonly string[])[],
            expected: readonly string[],
        ): Promise<void> => {
            const { evidence, getGuiltyIds } = await createEvidence(crashes);
            expect(getGuiltyIds()).to.deep.equal(expected);
            evidence.explainCrashes(new Set(expected.filter(id => id.startsWith(requestSubjectPrefix))));
            expect(getGuiltyIds()).to.deep.equal(expected.filter(id => !id.startsWith(requestSubjectPrefix)));
        };

        it("accuses no part that is in flight with a guilty request, but for two crashes", () =>
            doPartTest([["own", bad], ["own", bad], ["own", bad], ["own", other], ["own"]], [bad]));
        it("finds a part of several requests, each of which comes again", () =>
            doPartTest([["own", bad], ["own", bad], ["own", other], ["own", other]], ["own"]));
        it("finds a part beside a sound request that is often in flight", async () => {
            const { evidence, clock, getGuiltyIds } = await createEvidence([]);
            for (const count of [0, 1, 2, 3]) {
                evidence.addObservation(createObservation(`engine-${count}`, ["part", other]));
                await clock.advance(1_000);
            }
            evidence.setCompletions("entry-1", new Map([[other, Array<number>(8).fill(500)]]));
            expect(getGuiltyIds()).to.deep.equal(["part"]);
        });
    });

    describe("in simulated traffic", () => {
        const seeds = [1, 2, 3];
        const storms = [9_000, 12_000, 15_000, 18_000, 21_000, 30_000];

        async function doTest(
            options: Omit<CrashSimulationOptions, "seed">,
            expected: { verdicts: number; maximumLate: number; maximumFalse: number; },
        ): Promise<void> {
            for (const seed of seeds) {
                const result = await simulateCrashes({ ...options, seed });
                expect(result.crashesUntilVerdict, `verdicts of seed ${seed}`).to.have.length(expected.verdicts);
                expect(result.lateArrivals, `late arrivals of seed ${seed}`).to.be.at.most(expected.maximumLate);
                expect(result.falseVerdicts, `seed ${seed}`).to.have.length.at.most(expected.maximumFalse);
            }
        }

        it("finds a part that crashes engines in time", () =>
            doTest({}, { verdicts: 1, maximumLate: 3, maximumFalse: 0 }));
        it("finds a part that crashes most of its runs", () =>
            doTest({ crashShare: 0.6 }, { verdicts: 1, maximumLate: 3, maximumFalse: 0 }));
        it("finds a part beside crash storms", () =>
            doTest({ stormMilliseconds: storms }, { verdicts: 1, maximumLate: 3, maximumFalse: 0 }));
        it("finds a part in time when the leader changes meanwhile", () =>
            doTest({ leaderChangeMilliseconds: [11_000, 12_000, 13_000] }, {
                verdicts: 1,
                maximumLate: 3,
                maximumFalse: 0,
            }));
        it("finds a part in time when entry processes are restarted meanwhile", () =>
            doTest({ entryRestartMilliseconds: [10_000, 11_000, 12_000, 13_000, 14_000, 15_000] }, {
                verdicts: 1,
                maximumLate: 3,
                maximumFalse: 0,
            }));
        it("finds a part in time while engines restart in turn and lose answers", () =>
            doTest({ restartIntervalMilliseconds: 300, lostShare: 0.1, brokenShare: 0.1 }, {
                verdicts: 1,
                maximumLate: 3,
                maximumFalse: 0,
            }));
        it("goes on serving sound requests with the same first part", async () => {
            const { lateSoundShare } = await simulateCrashes({ seed: 1 });
            expect(lateSoundShare).to.be.at.least(0.9);
        });
        it("accuses no part in crash storms", () =>
            doTest({ guiltyParts: 0, stormMilliseconds: storms }, { verdicts: 0, maximumLate: 0, maximumFalse: 0 }));
        it("accuses no part where responses break off without crashes", () =>
            doTest({ guiltyParts: 0, brokenShare: 0.3 }, { verdicts: 0, maximumLate: 0, maximumFalse: 0 }));
    });
});
