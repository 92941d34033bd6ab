import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { OrderOutcome } from "../../../src/backends";
import { ControlClient } from "../../../src/control";
import { toOrder } from "../../../src/control/placement";
import { createSilentLogger } from "../../../src/logging";
import { CounterName, createMetrics } from "../../../src/metrics";
import { CommandSchema, Order, OrderKind, RolloutState, RolloutStepSchema } from "../../../src/protocol";
import { createRandomSource } from "../../../src/runtime";
import { createOrderExecutor, OrderExecutor, OrderExecutorOptions } from "../../../src/sidecar/orders";
import { createTestClock, TestClock } from "../../control/placement/createTestClock";
import { createTestControl, TestControl } from "../../control/placement/createTestControl";

describe("createOrderExecutor", () => {
    const sidecarId = "large-0";
    let clock: TestClock;
    let control: TestControl;
    let executed: Order[];
    let respond: (order: Order) => Promise<OrderOutcome>;
    let version: string;
    let isCutOff: boolean;
    let executors: OrderExecutor[];
    let metrics: ReturnType<typeof createMetrics>;

    beforeEach(async () => {
        clock = createTestClock();
        control = createTestControl(clock, createRandomSource(1), () => ({ loss: 0, delayMilliseconds: 0 }));
        metrics = createMetrics();
        executed = [];
        executors = [];
        version = "v0";
        isCutOff = false;
        respond = async order => {
            version = order.version;
            return { kind: "done" };
        };
        await setTarget("v1", 1n);
    });

    afterEach(async () => {
        let isStopped = false;
        void Promise.all(executors.map(executor => executor.stop())).then(() => isStopped = true);
        await clock.runUntil(() => isStopped, Number.MAX_SAFE_INTEGER);
    });

    function startExecutor(options: Partial<OrderExecutorOptions> = {}): OrderExecutor {
        const executor = createOrderExecutor({
            sidecarId,
            incarnation: `run-${executors.length}`,
            control: control.createClient(() => isCutOff),
            engine: { execute, getLoad },
            clock,
            logger: createSilentLogger(),
            metrics,
            ...options,
        });
        executors.push(executor);
        return executor;
    }

    function execute(order: Order): Promise<OrderOutcome> {
        executed.push(order);
        return respond(order);
    }

    async function getLoad() {
        return {
            incarnation: "run-1",
            version,
            adapters: [],
            role: "both",
            running: 0,
            waiting: 0,
            pendingPrefillTokens: 0,
        };
    }

    async function commit(command: Parameters<typeof create<typeof CommandSchema>>[1]): Promise<void> {
        const client: ControlClient = control.createClient(() => false);
        let isCommitted = false;
        void client.execute(create(CommandSchema, command)).then(() => isCommitted = true);
        await clock.runUntil(() => isCommitted, Number.MAX_SAFE_INTEGER);
    }

    async function setTarget(targetVersion: string, configurationRevision: bigint): Promise<void> {
        const value = { model: "large", version: targetVersion, configurationRevision, size: 1 };
        await commit({ command: { case: "rolloutStart", value } });
    }

    /** Opens a sidecar's step towards the target version, and returns the step's order. */
    async function openStep(name = sidecarId): Promise<Order> {
        const rollout = control.part.getRollout("large")!;
        const value = create(RolloutStepSchema, {
            model: "large",
            version: rollout.version,
            companion: name,
            kind: OrderKind.LOAD_VERSION,
            configurationRevision: rollout.revision,
        });
        await commit({ command: { case: "rolloutStep", value } });
        return toOrder(control.part.getOpenSteps().find(step => step.companion === name)!);
    }

    async function endStep(order: Order): Promise<void> {
        const value = { companion: order.companion, number: order.number, ended: true, lost: true };
        await commit({ command: { case: "rolloutStep", value } });
    }

    function wait(milliseconds: number): Promise<boolean> {
        return clock.runUntil(() => false, clock.getMonotonicMilliseconds() + milliseconds);
    }

    function getVersions(): readonly string[] {
        return executed.map(order => order.version);
    }

    it("passes an order on to the engine and reports its conclusion", async () => {
        const executor = startExecutor();
        executor.addOrder(await openStep());
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
        expect(control.part.getOpenSteps()[0]!.isObserved).to.equal(true);
    });

    it("passes a duplicate order on once", async () => {
        const executor = startExecutor();
        const order = await openStep();
        executor.addOrder(order);
        executor.addOrder(order);
        await wait(1_000);
        executor.addOrder(order);
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
        expect(metrics.getCount(CounterName.OrdersRefused)).to.equal(2);
    });

    it("ignores an order for another sidecar", async () => {
        const executor = startExecutor();
        executor.addOrder(await openStep("large-1"));
        await wait(1_000);
        expect(executed).to.deep.equal([]);
    });

    it("passes no order on after one with a higher fencing token", async () => {
        const executor = startExecutor();
        const late = await openStep();
        await endStep(late);
        await setTarget("v2", 2n);
        executor.addOrder(await openStep());
        await wait(1_000);
        executor.addOrder(late);
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v2"]);
    });

    it("passes no order of an ended step on", async () => {
        const executor = startExecutor();
        await wait(100);
        const late = await openStep();
        await endStep(late);
        executor.addOrder(late);
        await wait(1_000);
        expect(executed).to.deep.equal([]);
    });

    it("passes no order on if its step ended before a restart", async () => {
        const late = await openStep();
        await endStep(late);
        const executor = startExecutor();
        executor.addOrder(late);
        await wait(1_000);
        expect(executed).to.deep.equal([]);
        expect(executor.getFencingToken()?.index).to.equal(late.number!.index);
    });

    it("passes nothing on before the read barrier has passed", async () => {
        isCutOff = true;
        const executor = startExecutor();
        executor.addOrder(await openStep());
        await wait(60_000);
        expect(executed).to.deep.equal([]);
        expect(executor.getFencingToken()).to.equal(undefined);
        isCutOff = false;
        await wait(10_000);
        expect(getVersions()).to.deep.equal(["v1"]);
    });

    it("passes no order on that no control member confirms, and accepts the same order again later", async () => {
        const executor = startExecutor();
        await wait(100);
        const order = await openStep();
        isCutOff = true;
        executor.addOrder(order);
        await wait(30_000);
        expect(executed).to.deep.equal([]);
        isCutOff = false;
        executor.addOrder(order);
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
    });

    it("passes no order on after a confirmation that took too long, but asks again", async () => {
        const client = control.createClient(() => false);
        let executions = 0;
        let executionsBefore = 0;
        respond = async order => {
            executionsBefore = executions;
            version = order.version;
            return { kind: "done" };
        };
        const slow: ControlClient = {
            query: client.query,
            execute: async command => {
                executions += 1;
                const result = await client.execute(command);
                await clock.sleep(executions === 1 ? 6_000 : 0);
                return result;
            },
        };
        startExecutor({ control: slow }).addOrder(await openStep());
        await clock.runUntil(() => executed.length > 0, 60_000);
        expect(executionsBefore).to.equal(2);
    });

    describe("after a restart", () => {
        async function doTest(isInPlace: boolean, expected: readonly string[]): Promise<void> {
            respond = () => new Promise(() => undefined);
            const former = startExecutor();
            const order = await openStep();
            former.addOrder(order);
            await wait(1_000);
            void former.stop();
            version = isInPlace ? "v1" : "v0";
            respond = async () => {
                version = "v1";
                return { kind: "done" };
            };
            startExecutor().addOrder(order);
            await wait(10_000);
            expect(getVersions()).to.deep.equal(expected);
            expect(control.part.getOpenSteps()[0]!.isObserved).to.equal(true);
        }

        it("does not repeat an order that the engine has executed", () => doTest(true, ["v1"]));
        it("repeats an order that the engine has not executed", () => doTest(false, ["v1", "v1"]));
    });

    it("passes one order on at a time, and then only the newest pending one", async () => {
        let finish: () => void = () => undefined;
        respond = () => new Promise(resolve => finish = () => resolve({ kind: "refused", reason: "busy" }));
        const executor = startExecutor();
        const first = await openStep();
        executor.addOrder(first);
        await wait(1_000);
        await endStep(first);
        await setTarget("v2", 2n);
        const second = await openStep();
        executor.addOrder(second);
        await endStep(second);
        await setTarget("v3", 3n);
        executor.addOrder(await openStep());
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
        finish();
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1", "v3"]);
    });

    describe("an order of unknown outcome", () => {
        async function doTest(appearsAfterMilliseconds: number, expected: Partial<RolloutState>): Promise<void> {
            respond = async order => {
                void clock.sleep(appearsAfterMilliseconds).then(() => version = order.version);
                return { kind: "unknown", reason: "the connection broke" };
            };
            const executor = startExecutor();
            executor.addOrder(await openStep());
            await wait(70_000);
            expect(getVersions()).to.deep.equal(["v1"]);
            const [step] = control.part.getOpenSteps();
            expect(step?.isObserved ?? false).to.equal(expected === RolloutState.RUNNING);
        }

        it("is done if the load report shows it in time", () => doTest(20_000, RolloutState.RUNNING));
        it("is lost otherwise, and not repeated", () => doTest(90_000, RolloutState.FAILED));
    });

    describe("reports a failure", () => {
        async function doTest(
            outcome: OrderOutcome,
            health: string | undefined,
            expectedReason: string,
        ): Promise<void> {
            respond = async order => {
                version = order.version;
                return outcome;
            };
            const executor = startExecutor({ checkHealth: async () => health });
            executor.addOrder(await openStep());
            await wait(10_000);
            const rollout = control.part.getRollout("large")!;
            expect(rollout.state).to.equal(RolloutState.FAILED);
            expect(rollout.reason).to.equal(`${sidecarId}: ${expectedReason}`);
        }

        it("if the engine refuses the order", () =>
            doTest({ kind: "refused", reason: "no memory" }, undefined, "no memory"));
        it("if the engine is not healthy afterwards", () => doTest({ kind: "done" }, "no token", "no token"));
    });

    it("takes the engine out of service for the duration of an order", async () => {
        const seen: string[] = [];
        respond = async order => {
            seen.push("execute");
            version = order.version;
            return { kind: "done" };
        };
        const pauseWork = async () => {
            seen.push("pause");
            return () => void seen.push("resume");
        };
        startExecutor({ pauseWork }).addOrder(await openStep());
        await wait(1_000);
        expect(seen).to.deep.equal(["pause", "execute", "resume"]);
    });
});
