import { expect } from "chai";
import { ConsensusRole, LogStatus } from "../../../src/control/consensus";
import { createSubjectEvidence, runCrashQuarantine } from "../../../src/crashQuarantine";
import { createDocumentState } from "../../../src/documents";
import { createEntryRegistry } from "../../../src/feed";
import { createFleetTracker, RolloutOptions, runFleetListPolling, runRollout } from "../../../src/fleet";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics, TaskName } from "../../../src/metrics";
import { createNodeRanking } from "../../../src/routing";
import { createLimitLedger, runServerLimits } from "../../../src/serverLimits";
import { ownLoadFactKind, runLoadDistribution } from "../../../src/serverLoads";
import { startTask } from "../../../src/supervision";
import { createTestFactStore } from "../../facts/createTestFacts";
import { createTestInstance } from "../../feed/createTestFeed";
import { createManualClock } from "../../support/createManualClock";
import { failFirst } from "../../support/failFirst";

const failureCount = 2;

// A failure of any of these tasks ended the process.
describe("a background task of a control member that fails", () => {
    const status = { role: ConsensusRole.Leader, term: 1n } as LogStatus;

    function createContext() {
        const clock = createManualClock();
        return { clock, logger: createSilentLogger(), metrics: createMetrics(), signal: new AbortController().signal };
    }

    type Context = ReturnType<typeof createContext>;

    /** Starts a task whose first rounds fail; `works` tells whether a later one has succeeded. */
    async function doTest(name: TaskName, createTask: (context: Context) => [() => Promise<void>, () => boolean]) {
        const context = createContext();
        const [run, works] = createTask(context);
        startTask(name, run, context);
        await context.clock.advance(6_000);
        expect(await context.metrics.getText()).to.match(/basilwing_task_failures_total\{task="\w+"\} [12]\n/);
        expect(works()).to.equal(true);
    }

    function createFleet({ clock }: Context) {
        const documents = { getNamedWeights: () => [], getQuarantinedSubjects: () => [], addListener: () => () => {} };
        const fleetTracker = createFleetTracker(documents, clock, () => undefined);
        fleetTracker.reset(1n);
        return fleetTracker;
    }

    it("works again: the polling of the platform's list", () =>
        doTest(TaskName.FleetListPolling, context => {
            const fleetTracker = createFleet(context);
            const getInstances = failFirst(failureCount, () => Promise.resolve([createTestInstance()]));
            const isLeader = () => true;
            const options = { listClient: { getInstances }, fleetTracker, isLeader, intervalMilliseconds: 300 };
            return [
                () => runFleetListPolling({ ...options, ...context }),
                () => fleetTracker.getInstances().length === 1,
            ];
        }));

    /** Rolls out weights to one engine. */
    function createRollout(context: Context, change: (options: RolloutOptions) => Partial<RolloutOptions>) {
        const fleetTracker = createFleet(context);
        fleetTracker.setInstances([createTestInstance()]);
        let orderCount = 0;
        const options: RolloutOptions = {
            documents: {
                getNamedWeights: () => [{ model: "large", weightsVersion: 2, timeMilliseconds: 0 }],
            },
            fleetTracker,
            engineClient: {
                readReport: () => Promise.resolve({ orderCount: 0, isBusy: false, weights: [] }),
                orderWeights: () => {
                    orderCount += 1;
                    return Promise.resolve({ kind: "holds" });
                },
            },
            log: { readBarrier: () => Promise.resolve({ kind: "passed", index: 1n }), getStatus: () => status },
            isReportedUnresponsive: () => false,
            holder: "control-1",
            handoverMilliseconds: 100,
            ...context,
        };
        const changed = { ...options, ...change(options) };
        return [() => runRollout(changed), () => orderCount === 1] as [() => Promise<void>, () => boolean];
    }

    it("works again: the choice of the engines that load weights", () =>
        doTest(TaskName.Rollout, context =>
            createRollout(context, ({ documents }) => ({
                documents: { getNamedWeights: failFirst(failureCount, documents.getNamedWeights) },
            }))));

    it("works again: the load of one engine, which is chosen again", () =>
        doTest(TaskName.WeightsLoad, context =>
            createRollout(context, ({ engineClient }) => ({
                engineClient: { ...engineClient, readReport: failFirst(failureCount, engineClient.readReport) },
            }))));

    it("works again: the decisions on quarantine", () =>
        doTest(TaskName.CrashQuarantine, context => {
            const evidence = createSubjectEvidence(context.clock);
            let updateCount = 0;
            const options = {
                log: { getStatus: () => status, propose: () => Promise.reject(new Error("not expected")) },
                documents: createDocumentState(),
                facts: createTestFactStore(context.clock),
                evidence: { ...evidence, getSuspects: failFirst(failureCount, evidence.getSuspects) },
                fleetTracker: { setSuspectedSubjects: () => updateCount += 1 },
            };
            return [() => runCrashQuarantine({ ...options, ...context }), () => updateCount > 0];
        }));

    it("works again: the division of servers' limits", () =>
        doTest(TaskName.ServerLimits, context => {
            const ledger = createLimitLedger(context.clock, createNodeRanking());
            let updateCount = 0;
            const options = {
                log: { getStatus: () => status },
                facts: createTestFactStore(context.clock),
                ledger: { ...ledger, getSharedLimits: failFirst(failureCount, ledger.getSharedLimits) },
                entryRegistry: createEntryRegistry(context.clock),
                fleetTracker: { getInstances: () => [], setServerLimits: () => updateCount += 1 },
            };
            return [() => runServerLimits({ ...options, ...context }), () => updateCount > 0];
        }));

    it("works again: the distribution of the load", () =>
        doTest(TaskName.LoadDistribution, context => {
            const facts = createTestFactStore(context.clock);
            let publishCount = 0;
            facts.publish(ownLoadFactKind, "fleet", []);
            const options = {
                log: { getStatus: () => status },
                facts: { ...facts, publish: failFirst(failureCount, () => publishCount += 1) },
                entryRegistry: { getCount: () => 1 },
            };
            return [() => runLoadDistribution({ ...options, ...context }), () => publishCount > 0];
        }));
});
