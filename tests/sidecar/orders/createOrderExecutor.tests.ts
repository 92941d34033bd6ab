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

describe("createOrderGate", () => {
    const sidecarId = "large-0";
    let clock: TestClock;
    let control: TestControl;
    let executed: Order[];
    let answer: (order: Order) => Promise<OrderOutcome>;
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
        answer = async order => {
            version = order.version;
            return { kind: "done" };
        };
        await setTarget("v1", 1n);
    });

    afterEach(async () => {
        let isStopped = false;
        void Promise.all(executors.map(gate => gate.stop())).then(() => isStopped = true);
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
        return answer(order);
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

    async function setTarget(wanted: string, configurationRevision: bigint): Promise<void> {
        const value = { model: "large", version: wanted, configurationRevision, size: 1 };
        await commit({ command: { case: "rolloutStart", value } });
    }

    /** Opens the step towards the target for a sidecar, and gets its order. */
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

    it("passes an order on and reports it", async () => {
        const gate = startExecutor();
        gate.addOrder(await openStep());
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
        expect(control.part.getOpenSteps()[0]!.isObserved).to.equal(true);
    });

    it("passes a repeated order on once", async () => {
        const gate = startExecutor();
        const order = await openStep();
        gate.addOrder(order);
        gate.addOrder(order);
        await wait(1_000);
        gate.addOrder(order);
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
        expect(metrics.getCount(CounterName.OrdersRefused)).to.equal(2);
    });

    it("passes no order on that belongs to another sidecar", async () => {
        const gate = startExecutor();
        gate.addOrder(await openStep("large-1"));
        await wait(1_000);
        expect(executed).to.deep.equal([]);
    });

    it("passes no lower number on after a higher one", async () => {
        const gate = startExecutor();
        const late = await openStep();
        await endStep(late);
        await setTarget("v2", 2n);
        gate.addOrder(await openStep());
        await wait(1_000);
        gate.addOrder(late);
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v2"]);
    });

    it("passes no order on whose step has ended", async () => {
        const gate = startExecutor();
        await wait(100);
        const late = await openStep();
        await endStep(late);
        gate.addOrder(late);
        await wait(1_000);
        expect(executed).to.deep.equal([]);
    });

    it("passes no order on whose step has ended before a restart", async () => {
        const late = await openStep();
        await endStep(late);
        const gate = startExecutor();
        gate.addOrder(late);
        await wait(1_000);
        expect(executed).to.deep.equal([]);
        expect(gate.getFencingToken()?.index).to.equal(late.number!.index);
    });

    it("passes nothing on before the read barrier has passed", async () => {
        isCutOff = true;
        const gate = startExecutor();
        gate.addOrder(await openStep());
        await wait(60_000);
        expect(executed).to.deep.equal([]);
        expect(gate.getFencingToken()).to.equal(undefined);
        isCutOff = false;
        await wait(10_000);
        expect(getVersions()).to.deep.equal(["v1"]);
    });

    it("passes nothing on while no control member confirms it, and takes the order again later", async () => {
        const gate = startExecutor();
        await wait(100);
        const order = await openStep();
        isCutOff = true;
        gate.addOrder(order);
        await wait(30_000);
        expect(executed).to.deep.equal([]);
        isCutOff = false;
        gate.addOrder(order);
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
    });

    it("passes nothing on after a confirmation that took too long", async () => {
        const client = control.createClient(() => false);
        let executions = 0;
        let executionsBefore = 0;
        answer = async order => {
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
            answer = () => new Promise(() => undefined);
            const former = startExecutor();
            const order = await openStep();
            former.addOrder(order);
            await wait(1_000);
            void former.stop();
            version = isInPlace ? "v1" : "v0";
            answer = async () => {
                version = "v1";
                return { kind: "done" };
            };
            startExecutor().addOrder(order);
            await wait(10_000);
            expect(getVersions()).to.deep.equal(expected);
            expect(control.part.getOpenSteps()[0]!.isObserved).to.equal(true);
        }

        it("does not repeat an order that the engine has carried out", () => doTest(true, ["v1"]));
        it("repeats an order that the engine has not carried out", () => doTest(false, ["v1", "v1"]));
    });

    it("gives the engine one order at a time, and then only the newest", async () => {
        let finish: () => void = () => undefined;
        answer = () => new Promise(resolve => finish = () => resolve({ kind: "refused", reason: "busy" }));
        const gate = startExecutor();
        const first = await openStep();
        gate.addOrder(first);
        await wait(1_000);
        await endStep(first);
        await setTarget("v2", 2n);
        const second = await openStep();
        gate.addOrder(second);
        await endStep(second);
        await setTarget("v3", 3n);
        gate.addOrder(await openStep());
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1"]);
        finish();
        await wait(1_000);
        expect(getVersions()).to.deep.equal(["v1", "v3"]);
    });

    describe("an order of unknown outcome", () => {
        async function doTest(appearsAfterMilliseconds: number, expected: Partial<RolloutState>): Promise<void> {
            answer = async order => {
                void clock.sleep(appearsAfterMilliseconds).then(() => version = order.version);
                return { kind: "unknown", reason: "the connection broke" };
            };
            const gate = startExecutor();
            gate.addOrder(await openStep());
            await wait(70_000);
            expect(getVersions()).to.deep.equal(["v1"]);
            const [step] = control.part.getOpenSteps();
            expect(step?.isObserved ?? false).to.equal(expected === RolloutState.RUNNING);
        }

        it("is done where the engine reports it in time", () => doTest(20_000, RolloutState.RUNNING));
        it("is lost where the engine does not, and not repeated", () => doTest(90_000, RolloutState.FAILED));
    });

    describe("reports a failure", () => {
        async function doTest(
            outcome: OrderOutcome,
            health: string | undefined,
            expectedReason: string,
        ): Promise<void> {
            answer = async order => {
                version = order.version;
                return outcome;
            };
            const gate = startExecutor({ checkHealth: async () => health });
            gate.addOrder(await openStep());
            await wait(10_000);
            const rollout = control.part.getRollout("large")!;
            expect(rollout.state).to.equal(RolloutState.FAILED);
            expect(rollout.reason).to.equal(`${sidecarId}: ${expectedReason}`);
        }

        it("where the engine refuses", () => doTest({ kind: "refused", reason: "no memory" }, undefined, "no memory"));
        it("where the engine does not work afterwards", () => doTest({ kind: "done" }, "no token", "no token"));
    });

    it("takes the engine out of service for as long as the order takes", async () => {
        const seen: string[] = [];
        answer = async order => {
            seen.push("execute");
            version = order.version;
            return { kind: "done" };
        };
        const pauseWork = async () => {
            seen.push("hold");
            return () => void seen.push("release");
        };
        startExecutor({ pauseWork }).addOrder(await openStep());
        await wait(1_000);
        expect(seen).to.deep.equal(["hold", "execute", "release"]);
    });
});
