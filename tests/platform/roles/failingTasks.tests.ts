import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { CallerServer } from "../../../platform/callers";
import { createCrashObserver, InstanceState, LossCause } from "../../../src/crashQuarantine";
import { createFactSync } from "../../../src/facts";
import { FeedTaskOptions, runFeed } from "../../../src/feed";
import { CacheChangeSource, CallerReply, startKvCacheStoreView } from "../../../src/forwarding";
import { createLivenessMonitor } from "../../../src/forwarding/createLivenessMonitor";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics, TaskName } from "../../../src/metrics";
import { PollOutcome, PollResponseSchema, StreamOriginSchema } from "../../../src/protocol";
import { createRequestQueue } from "../../../src/requestQueue";
import { createNodeRanking } from "../../../src/routing";
import { createRandomSource } from "../../../src/runtime";
import { createStreamOrigins } from "../../../src/streamOrigins";
import { startTask } from "../../../src/supervision";
import { createTestSubjects } from "../../crashQuarantine/createTestSubjects";
import { testServices } from "../../crashQuarantine/testServices";
import { createTestDocument } from "../../documents/createTestDocument";
import { createTestFactStore } from "../../facts/createTestFacts";
import { createEmptyTestFeedState, createTestFeedState, createTestInstance } from "../../feed/createTestFeed";
import { createManualClock } from "../../support/createManualClock";
import { failFirst } from "../../support/failFirst";
import { openRawCaller } from "../callers/openRawCaller";
import { startTestCallerServer } from "../callers/startTestCallerServer";

const openCount = 20;
const failureCount = 2;

// A failure of any of these tasks ended the process, and with it every request in progress.
describe("a background task of an entry process that fails beside open requests", () => {
    let callerServer: CallerServer | undefined;
    afterEach(() => {
        callerServer?.server.closeAllConnections();
        callerServer?.server.close();
    });

    function createContext() {
        const clock = createManualClock();
        return { clock, logger: createSilentLogger(), metrics: createMetrics(), signal: new AbortController().signal };
    }

    type Context = ReturnType<typeof createContext>;

    /**
     * Opens requests, lets a task fail, and has the requests answered.
     * @param name - The task.
     * @param start - Starts the task; returns a function that tells whether it works.
     */
    async function doTest(name: TaskName, start: (context: Context) => Promise<() => boolean>) {
        const replies: CallerReply[] = [];
        callerServer = await startTestCallerServer((...[, reply]) => void replies.push(reply));
        const callers = Array.from({ length: openCount }, () => openRawCaller(callerServer!));
        callers.forEach((caller, index) => caller.request(`request-${index}`));
        while (replies.length < openCount) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const context = createContext();
        const works = await start(context);
        await context.clock.advance(3_000);
        replies.forEach(reply => reply.send({ status: 200, headers: [] }, Buffer.from("ok")));
        const statuses = await Promise.all(callers.map(caller => caller.waitForStatuses(1)));
        expect(statuses.flat()).to.deep.equal(callers.map(() => 200));
        expect(await context.metrics.getText()).to.match(
            new RegExp(`basilwing_task_failures_total\\{task="${name}"\\} [12]\n`),
        );
        expect(works()).to.equal(true);
    }

    /** Starts the feed with a leader that responds. */
    async function startFeed(context: Context, change: (options: FeedTaskOptions) => Partial<FeedTaskOptions>) {
        const { clock, signal } = context;
        const state = createEmptyTestFeedState(clock);
        let updateCount = 0;
        const options: FeedTaskOptions = {
            entryId: "entry-1",
            getSeedAddresses: () => ["10.0.0.1:1"],
            client: {
                poll: async () => {
                    await clock.sleep(100, signal);
                    const document = Buffer.from(JSON.stringify(createTestDocument()));
                    const outcome = PollOutcome.CURRENT;
                    const response = create(PollResponseSchema, { outcome, documentVersion: 1n, document });
                    return { kind: "answered", response };
                },
            },
            state,
            factSync: createFactSync(createTestFactStore(clock)),
            onUpdate: () => updateCount += 1,
            random: createRandomSource(1),
            ...context,
        };
        const changed = { ...options, ...change(options) };
        startTask(TaskName.Feed, () => runFeed(changed), context);
        return () => state.getRouteTable()?.document.version === 1 && updateCount > 5;
    }

    const feedFaults: { title: string; change(options: FeedTaskOptions): Partial<FeedTaskOptions>; }[] = [
        {
            title: "can't take over a response",
            change: ({ state }) => ({
                state: { ...state, applyResponse: failFirst(failureCount, state.applyResponse) },
            }),
        },
        {
            title: "can't read facts",
            change: ({ factSync }) => ({
                factSync: { ...factSync, readResponse: failFirst(failureCount, factSync.readResponse) },
            }),
        },
        { title: "can't publish facts", change: () => ({ onBeforePoll: failFirst(failureCount, () => undefined) }) },
        {
            title: "can't pass on an update",
            change: ({ onUpdate }) => ({ onUpdate: failFirst(failureCount, onUpdate!) }),
        },
        {
            title: "can't send a poll",
            change: ({ client }) => ({ client: { poll: failFirst(failureCount, client.poll) } }),
        },
    ];
    for (const { title, change } of feedFaults) {
        it(`has them answered, and works again: the feed ${title}`, async () => {
            await doTest(TaskName.Feed, context => startFeed(context, change));
        });
    }

    async function startMonitor(
        context: Context,
        pollConnections: () => Promise<void>,
        checkInstance: () => Promise<InstanceState>,
    ) {
        const facts = createTestFactStore(context.clock);
        const monitor = createLivenessMonitor({ link: { checkInstance }, facts, pollConnections, ...context });
        monitor.recordSent(createTestInstance(), testServices.plain);
        const signal = monitor.getUnresponsiveSignal("engine-1");
        return () => signal.aborted;
    }

    it("has them answered, and works again: the checks for silence", () =>
        doTest(TaskName.SilenceChecks, context =>
            startMonitor(
                context,
                failFirst(failureCount, () => Promise.resolve()),
                () => Promise.resolve(InstanceState.Unknown),
            )));

    it("has them answered, and works again: the probes of a silent server", () =>
        doTest(TaskName.Probing, context =>
            startMonitor(
                context,
                () => Promise.resolve(),
                failFirst(failureCount, () => Promise.resolve(InstanceState.Unknown)),
            )));

    const changes = { incarnation: "1", nextPosition: 1, hasGap: false, changes: [] };

    async function startStoreView(context: Context, source: CacheChangeSource, failingTableCount: number) {
        const state = createTestFeedState(context.clock, []);
        const view = startKvCacheStoreView({
            state: { ...state, getRouteTable: failFirst(failingTableCount, state.getRouteTable) },
            source,
            ...context,
        });
        return () => view.isReachable("10.0.0.9:80");
    }

    it("has them answered, and works again: the list of KV cache stores", () =>
        doTest(
            TaskName.KvCacheStoreList,
            context => startStoreView(context, { getChanges: () => Promise.resolve(changes) }, failureCount),
        ));

    it("has them answered, and works again: the view of a KV cache store", () =>
        doTest(
            TaskName.KvCacheStore,
            context =>
                startStoreView(context, { getChanges: failFirst(failureCount, () => Promise.resolve(changes)) }, 0),
        ));

    /** Records an origin twice, of which the first attempt fails; returns whether streams learned both results. */
    async function startOrigins(
        context: Context,
        faults: { rankingFailures: number; failingCall: number; callCount: number; },
    ) {
        const ranking = createNodeRanking();
        const results: boolean[] = [];
        let callCount = 0;
        const origins = createStreamOrigins({
            client: {
                record: () => {
                    callCount += 1;
                    return callCount === faults.failingCall
                        ? Promise.reject(new Error("broken"))
                        : Promise.resolve({ kind: "recorded", memberIncarnation: "1" });
                },
                find: () => Promise.resolve({ kind: "notFound" }),
            },
            getMemberAddresses: () => ["member-1"],
            ranking: { ...ranking, getHighest: failFirst(faults.rankingFailures, ranking.getHighest) },
            ...context,
        });
        for (const requestId of ["request-1", "request-2"]) {
            const origin = create(StreamOriginSchema, { requestId, attemptNumber: 1, lifetimeMilliseconds: 9_000 });
            void origins.record(origin, false).then(isRecorded => results.push(isRecorded));
            await context.clock.advance(100);
        }
        return () => results.length === 2 && results[1] === true && callCount === faults.callCount;
    }

    it("has them answered, and works again: the recording of streams' origins, for which no stream waits", () =>
        doTest(
            TaskName.StreamOriginBatch,
            context => startOrigins(context, { rankingFailures: 1, failingCall: 0, callCount: 2 }),
        ));

    it("has them answered, and works again: the origins for a member that has joined", () =>
        doTest(
            TaskName.StreamOriginRestoration,
            context => startOrigins(context, { rankingFailures: 0, failingCall: 2, callCount: 4 }),
        ));

    it("has them answered, and works again: the check whether a server has crashed", () =>
        doTest(TaskName.CrashCheck, async context => {
            const observer = createCrashObserver({
                incarnation: "one",
                checkInstance: failFirst(1, () => Promise.resolve(InstanceState.Ended)),
                getListedInstance: () => undefined,
                getSuspectedRequestIds: () => new Set(),
                ...context,
            });
            for (let count = 0; count < 2; count++) {
                observer.beginRun(createTestInstance(), testServices.plain, createTestSubjects([], "lost"))
                    .lose(LossCause.Silence);
                await context.clock.advance(100);
            }
            return () => observer.getObservations().length === 1;
        }));

    it("has them answered, and works again: the queue of requests, beside one whose refusal fails", () =>
        doTest(TaskName.RequestQueue, async context => {
            const events: string[] = [];
            const queue = createRequestQueue({ waitForTurn: () => context.clock.sleep(1), ...context });
            const add = (name: string, callerMilliseconds?: number, refuse: () => void = () => undefined) =>
                queue.add({
                    callerMilliseconds,
                    signal: new AbortController().signal,
                    start: () => events.push(name),
                    refuse,
                    drop: () => undefined,
                });
            add("refused", 1, () => {
                throw new Error("broken");
            });
            add("second");
            add("third");
            await context.clock.advance(200);
            add("fourth");
            return () => events.join() === "second,third,fourth";
        }));
});
