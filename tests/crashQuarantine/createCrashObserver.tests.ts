import { expect } from "chai";
import { createCrashObserver, InstanceState, LossCause } from "../../src/crashQuarantine";
import { createSilentLogger, Logger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { FleetInstance } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestSubjects } from "./createTestSubjects";
import { testServices } from "./testServices";

describe("createCrashObserver", () => {
    function createFixture(
        check: (count: number) => InstanceState | "never",
        logger = createSilentLogger(),
        getListedInstance: (milliseconds: number) => FleetInstance | undefined = () => undefined,
    ) {
        const clock = createManualClock();
        let checkCount = 0;
        const observer = createCrashObserver({
            incarnation: "one",
            checkInstance: () => {
                const state = check(checkCount++);
                return state === "never" ? new Promise(() => undefined) : Promise.resolve(state);
            },
            getListedInstance: () => getListedInstance(clock.getMonotonicMilliseconds()),
            getSuspectedRequestIds: () => new Set(),
            clock,
            logger,
            metrics: createMetrics(),
            signal: new AbortController().signal,
        });
        const instance = createTestInstance({ instanceId: "engine-1", startMilliseconds: 1_000 });
        return { clock, observer, instance, getCheckCount: () => checkCount };
    }

    it("records a crash with the subjects of all requests in flight, by whether their responses had begun", async () => {
        const { clock, observer, instance } = createFixture(() => InstanceState.Refusing);
        const writing = observer.beginRun(instance, testServices.engine, createTestSubjects(["old"]));
        writing.recordBegin();
        observer.beginRun(
            createTestInstance({ instanceId: "engine-2" }),
            testServices.engine,
            createTestSubjects(["elsewhere"]),
        );
        await clock.advance(1_000);
        const lost = observer.beginRun(instance, testServices.engine, createTestSubjects(["a", "bad"], "lost"));
        lost.recordBegin();
        observer.beginRun(instance, testServices.engine, createTestSubjects(["a", "waiting"], "beside"));
        lost.lose(LossCause.Connection);
        await clock.advance(300);
        expect(observer.getObservations()).to.deep.equal([{
            reportId: "one.1",
            instanceId: "engine-1",
            ageMilliseconds: 300,
            begunSubjectIds: ["a", "bad", "request-lost"],
            waitingSubjectIds: ["a", "waiting", "request-beside"],
        }]);
        expect([...observer.getCompletions(["old", "bad"])]).to.deep.equal([["old", [300]]]);
    });

    it("logs the requests that were in flight at the crash of a plain server", async () => {
        const lines: object[] = [];
        const logger = { ...createSilentLogger(), warn: (fields: object) => void lines.push(fields) };
        const { clock, observer, instance } = createFixture(() => InstanceState.Refusing, logger as unknown as Logger);
        observer.beginRun(instance, testServices.plain, createTestSubjects([], "beside"));
        observer.beginRun(instance, testServices.plain, createTestSubjects([], "lost")).lose(LossCause.Connection);
        await clock.advance(100);
        expect(lines).to.deep.equal([{
            instanceId: "engine-1",
            service: "actions",
            begunSubjectIds: [],
            waitingSubjectIds: ["request-beside", "request-lost"],
        }]);
    });

    it("adds a run that is lost during the first probe to the candidates", async () => {
        const { clock, observer, instance } = createFixture(count => count === 0 ? "never" : InstanceState.Ended);
        observer.beginRun(instance, testServices.plain, createTestSubjects([], "first")).lose(LossCause.Connection);
        await clock.advance(100);
        observer.beginRun(instance, testServices.plain, createTestSubjects([], "second")).lose(LossCause.Connection);
        await clock.advance(500);
        const [{ ageMilliseconds, waitingSubjectIds } = { ageMilliseconds: 0 }] = observer.getObservations();
        expect([ageMilliseconds, waitingSubjectIds]).to.deep.equal([500, ["request-first", "request-second"]]);
    });

    it("accuses no run that is lost after a failed probe, and goes on accusing those before", async () => {
        const { clock, observer, instance } = createFixture(count =>
            count < 5 ? InstanceState.Unknown : InstanceState.Ended
        );
        const guilty = observer.beginRun(instance, testServices.engine, createTestSubjects([], "guilty"));
        guilty.recordBegin();
        await clock.advance(60);
        guilty.lose(LossCause.Connection);
        await clock.advance(600);
        observer.beginRun(instance, testServices.engine, createTestSubjects([], "late")).lose(LossCause.Connection);
        await clock.advance(500);
        const candidates = observer.getObservations().map(crash => [crash.begunSubjectIds, crash.waitingSubjectIds]);
        expect(candidates).to.deep.equal([[["request-guilty"], []]]);
    });

    it("takes no begun response of a plain server for a sign", async () => {
        const { clock, observer, instance } = createFixture(() => InstanceState.Refusing);
        const run = observer.beginRun(instance, testServices.plain, createTestSubjects([], "begun"));
        run.recordBegin();
        await clock.advance(1_000);
        run.lose(LossCause.Connection);
        await clock.advance(100);
        expect(observer.getObservations().map(crash => crash.waitingSubjectIds)).to.deep.equal([["request-begun"]]);
    });

    it("records completions of requests that were in flight at a crash, and of no others", async () => {
        const { clock, observer, instance } = createFixture(() => InstanceState.Refusing);
        const complete = (name: string) =>
            observer.beginRun(instance, testServices.plain, createTestSubjects([], name)).complete();
        complete("accused");
        observer.beginRun(instance, testServices.plain, createTestSubjects([], "accused")).lose(LossCause.Connection);
        await clock.advance(100);
        complete("accused");
        complete("other");
        expect([...observer.getCompletions(["request-accused", "request-other"])])
            .to.deep.equal([["request-accused", [0]]]);
    });

    const doTest = async (
        states: readonly (InstanceState | "never")[],
        expected: { crashes: number; checks: number; },
        cause = LossCause.Connection,
    ) => {
        const { clock, observer, instance, getCheckCount } = createFixture(count => states[count] ?? states.at(-1)!);
        observer.beginRun(instance, testServices.engine, createTestSubjects(["a"])).lose(cause);
        await clock.advance(20_000);
        expect({ crashes: observer.getObservations().length, checks: getCheckCount() }).to.deep.equal(expected);
    };

    it("records no crash of an engine that still serves", () =>
        doTest([InstanceState.Serving], { crashes: 0, checks: 1 }));
    it("records no crash of an engine that can't be reached", () => doTest(["never"], { crashes: 0, checks: 8 }));
    it("records a crash of an engine at whose address nothing listens", () =>
        doTest([InstanceState.Refusing], { crashes: 1, checks: 1 }));
    it("asks again where the result is unclear", () =>
        doTest([InstanceState.Unknown, InstanceState.Ended], { crashes: 1, checks: 2 }));

    it("records no crash of an engine that another one has replaced when a connection to it ends", () =>
        doTest([InstanceState.Ended], { crashes: 0, checks: 1 }));
    it("records a crash of an engine that another one has replaced while it was silent", () =>
        doTest([InstanceState.Ended], { crashes: 1, checks: 1 }, LossCause.Silence));

    it("records one crash where a server that has ended loses more requests, until it responds under its id again", async () => {
        const { clock, observer, instance, getCheckCount } = createFixture(() => InstanceState.Refusing);
        const lose = async (hasBegun: boolean) => {
            const run = observer.beginRun(instance, testServices.plain, createTestSubjects([]));
            if (hasBegun) {
                run.recordBegin();
            }
            run.lose(LossCause.Connection);
            await clock.advance(2_000);
            return [getCheckCount(), observer.getObservations().length];
        };
        expect([await lose(false), await lose(false), await lose(true)]).to.deep.equal([[1, 1], [1, 1], [2, 2]]);
    });

    describe("a server that starts again under its id, so that its crashes were never counted", () => {
        /** Loses a run at a server whose list entry changes after a second; returns the number of crashes. */
        async function doTest(
            states: InstanceState[],
            changes: Parameters<typeof createTestInstance>[0],
            expected: number,
        ) {
            const { clock, observer, instance } = createFixture(
                count => states[count] ?? InstanceState.Serving,
                undefined,
                milliseconds =>
                    createTestInstance({
                        instanceId: "engine-1",
                        startMilliseconds: 1_000,
                        ...milliseconds < 1_000 ? {} : changes,
                    }),
            );
            observer.beginRun(instance, testServices.plain, createTestSubjects([], "lost")).lose(LossCause.Connection);
            await clock.advance(5_000);
            expect(observer.getObservations().length).to.equal(expected);
        }

        it("has crashed where it did not answer before", () =>
            doTest([InstanceState.Unknown], { startMilliseconds: 2_000 }, 1));
        it("has crashed where it did not answer to any probe", () =>
            doTest(Array<InstanceState>(8).fill(InstanceState.Unknown), { startMilliseconds: 2_000 }, 1));
        it("has not crashed where it answered at once, as it may have ended with the connection", () =>
            doTest([], { startMilliseconds: 2_000 }, 0));
        it("has not crashed where it was to leave", () =>
            doTest([InstanceState.Unknown], { startMilliseconds: 2_000, isLeaving: true }, 0));
        it("has not crashed without a later start", () => doTest([InstanceState.Unknown], {}, 0));

        it("has crashed once, however late the runs of its former start are lost", async () => {
            const { clock, observer, instance } = createFixture(
                () => InstanceState.Serving,
                undefined,
                () => createTestInstance({ instanceId: "engine-1", startMilliseconds: 2_000 }),
            );
            const begin = (subject: string, startMilliseconds: number) =>
                observer.beginRun(
                    { ...instance, startMilliseconds },
                    testServices.plain,
                    createTestSubjects([], subject),
                );
            const lostRuns = ["old-1", "old-2", "old-3"].map(subject => begin(subject, 1_000));
            begin("new", 2_000);
            for (const run of lostRuns) {
                run.lose(LossCause.Silence);
                await clock.advance(5_000);
            }
            expect(observer.getObservations().map(({ waitingSubjectIds }) => waitingSubjectIds))
                .to.deep.equal([["request-old-1", "request-old-2", "request-old-3"]]);
        });
        it("has crashed each time where the list tells no start and it never responds", async () => {
            const { clock, observer, instance } = createFixture(() => InstanceState.Refusing);
            for (let count = 0; count < 3; count++) {
                observer.beginRun({ ...instance, startMilliseconds: 0 }, testServices.plain, createTestSubjects([]))
                    .lose(LossCause.Connection);
                await clock.advance(4_000);
            }
            expect(observer.getObservations().length).to.equal(3);
        });
        it("is asked again after its next start, without a response before", async () => {
            const { clock, observer, instance } = createFixture(() => InstanceState.Refusing);
            for (const startMilliseconds of [1_000, 9_000]) {
                const started = { ...instance, startMilliseconds };
                observer.beginRun(started, testServices.plain, createTestSubjects([])).lose(LossCause.Connection);
                await clock.advance(100);
            }
            expect(observer.getObservations().length).to.equal(2);
        });
    });

    it("asks once for several lost requests", async () => {
        const { clock, observer, instance, getCheckCount } = createFixture(() => InstanceState.Refusing);
        const runs = [["a"], ["b"], ["c"]].map(subjectIds =>
            observer.beginRun(instance, testServices.engine, createTestSubjects(subjectIds))
        );
        runs.forEach(run => run.lose(LossCause.Connection));
        await clock.advance(100);
        expect([getCheckCount(), observer.getObservations().length]).to.deep.equal([1, 1]);
    });

    it("counts only the first end of a run", async () => {
        const { clock, observer, instance, getCheckCount } = createFixture(() => InstanceState.Refusing);
        const run = observer.beginRun(instance, testServices.engine, createTestSubjects(["a"]));
        run.end();
        run.lose(LossCause.Connection);
        run.complete();
        await clock.advance(100);
        expect([getCheckCount(), observer.getCompletions(["a"]).size]).to.deep.equal([0, 0]);
    });

    it("keeps a bounded number of crashes and of completions", async () => {
        const { clock, observer } = createFixture(() => InstanceState.Refusing);
        for (let count = 0; count < 100; count++) {
            observer
                .beginRun(
                    createTestInstance({ instanceId: `engine-${count}` }),
                    testServices.engine,
                    createTestSubjects(["a"]),
                )
                .lose(LossCause.Connection);
            observer.beginRun(
                createTestInstance({ instanceId: "engine-x" }),
                testServices.engine,
                createTestSubjects(["b"]),
            ).complete();
        }
        await clock.advance(10);
        expect([observer.getObservations().length, observer.getCompletions(["b"]).get("b")!.length])
            .to.deep.equal([64, 16]);
    });
});
