/*
 * Simulates rollouts for tests and measurements: sidecars with their engines, a rollout planner per leader, and a
 * network between them that loses, delays and repeats messages.
 */
import { create } from "@bufbuild/protobuf";
import { createRolloutPlanner, RolloutPlanner, RolloutTargets } from "../../../src/control/placement";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import {
    BackendKind,
    CommandSchema,
    Order,
    ProcessRecord,
    ProcessRecordSchema,
    ProcessRole,
    ProcessState,
    RolloutState,
} from "../../../src/protocol";
import { createRandomSource } from "../../../src/runtime";
import { createOrderExecutor, OrderExecutor } from "../../../src/sidecar/orders";
import { createTestClock, TestClock } from "./createTestClock";
import { createTestControl, TestControl } from "./createTestControl";
import { createTestEngine, TestEngine } from "./createTestEngine";

/** The faults of a simulation. */
export interface SimulationFaults {
    /** The probability that a message, a commit or a response is lost. */
    loss: number;
    /** The maximum delay of a message, in milliseconds. */
    delayMilliseconds: number;
    /** The probability that an order arrives twice. */
    repeat: number;
    /** The probability that an engine refuses an order. */
    refusal: number;
}

/** The options of a simulation. */
export interface SimulationOptions {
    /** The seed of all random decisions. */
    seed: number;
    /** The number of replicas, by the name of the model. */
    replicas: Readonly<Record<string, number>>;
    /** Whether engines refuse orders with an older fencing token. */
    enforcesFencing: boolean;
    /** The capacity floor of all models, from 0 to 1; undefined for the default. */
    capacityFloor: number | undefined;
    /** Gets the faults, which may change during the simulation. */
    getFaults(): SimulationFaults;
}

/** One replica: a sidecar and its engine. */
export interface SimulatedReplica {
    instanceId: string;
    model: string;
    engine: TestEngine;
    /** Stops the sidecar and starts its next incarnation after a random delay. */
    restart(): void;
    /** Crashes the engine, whose next incarnation holds no weights. */
    crash(): void;
    /** Removes the sidecar and its engine permanently. */
    remove(): void;
    isRemoved(): boolean;
}

/** A running simulation. */
export interface RolloutSimulation {
    clock: TestClock;
    control: TestControl;
    replicas: readonly SimulatedReplica[];
    /** The violations of invariants that were observed. */
    violations: readonly string[];
    /** Gets the maximum number of loads that ran at the same time. */
    getMaximumConcurrentLoads(): number;
    setTarget(model: string, version: string): void;
    /** Starts the planner of a new leader; the previous one is stopped, or kept running without leadership. */
    changeLeader(keepsPreviousPlanner: boolean): void;
    setState(model: string, state: RolloutState): void;
    /** Returns whether every replica left has reached its target and no step is open. */
    isDone(): boolean;
    stop(): Promise<void>;
}

const normalLoadMilliseconds = 800;
const contendedLoadMilliseconds = 2_400;
const reportMilliseconds = 250;
const defaultCapacityFloor = 0.5;
/** How long after a crash a load may begin that was decided before it, without message delays; in milliseconds. */
const crashDetectionMilliseconds = 2_000;
/** How many message delays are added to it: for the record, the begin or end of the step, and their repetitions. */
const crashDetectionMessages = 5;

/** Creates a simulation and starts all its parts. */
export function createRolloutSimulation(options: SimulationOptions): RolloutSimulation {
    const clock = createTestClock();
    const random = createRandomSource(options.seed);
    const control = createTestControl(clock, random, options.getFaults);
    const logger = createSilentLogger();
    const records = new Map<string, ProcessRecord>();
    const gates = new Map<string, OrderExecutor>();
    const violations: string[] = [];
    const planners: RolloutPlanner[] = [];
    const stopping = new AbortController();
    const targets: Record<string, string> = {};
    let revision = 1n;
    let leader = 0;
    let maximumConcurrentLoads = 0;
    let lastCrashMilliseconds = -crashDetectionMilliseconds;
    const replicas = Object.entries(options.replicas).flatMap(([model, count]) =>
        Array.from({ length: count }, (...[, number]) => createReplica(model, number))
    );
    startPlanner();
    return {
        clock,
        control,
        replicas,
        violations,
        getMaximumConcurrentLoads: () => maximumConcurrentLoads,
        setTarget,
        changeLeader,
        setState,
        isDone,
        stop,
    };

    function createReplica(model: string, number: number): SimulatedReplica {
        const instanceId = `${model}-${number}`;
        let run = 0;
        let isRemoved = false;
        const engine = createTestEngine({
            clock,
            random,
            version: "v0",
            enforcesFencing: options.enforcesFencing,
            lagMilliseconds: 50,
            getLoadMilliseconds: () => countLoads() > 2 ? contendedLoadMilliseconds : normalLoadMilliseconds,
            getFaults: () => ({ refusal: options.getFaults().refusal, loss: options.getFaults().loss }),
            onLoad: order => checkLoad(order),
        });
        startRun();
        return { instanceId, model, engine, restart, crash, remove, isRemoved: () => isRemoved };

        function startRun(): void {
            run += 1;
            const incarnation = `${instanceId}/${run}`;
            const gate = createOrderExecutor({
                sidecarId: instanceId,
                incarnation,
                control: control.createClient(() => false),
                engine,
                clock,
                logger,
                metrics: createMetrics(),
            });
            gates.set(instanceId, gate);
            void reportRecords(run, incarnation);
        }

        async function reportRecords(ownRun: number, incarnation: string): Promise<void> {
            while (ownRun === run && !isRemoved && !stopping.signal.aborted) {
                const load = await engine.getLoad();
                if (ownRun === run && load !== undefined) {
                    const state = load.version === "" ? ProcessState.STARTING : ProcessState.READY;
                    setRecord(state, incarnation, load.version, load.incarnation);
                }
                await clock.sleep(reportMilliseconds);
            }
        }

        function setRecord(
            state: ProcessState,
            incarnation: string,
            version: string,
            backendIncarnation: string,
        ): void {
            records.set(
                instanceId,
                create(ProcessRecordSchema, {
                    instanceId,
                    incarnation,
                    role: ProcessRole.COMPANION,
                    state,
                    backendKind: BackendKind.ENGINE,
                    backendIncarnation,
                    serves: model,
                    version,
                    engineRole: "both",
                }),
            );
        }

        function restart(): void {
            if (!isRemoved) {
                run += 1;
                void gates.get(instanceId)!.stop();
                void clock.sleep(random.getInteger(3_000)).then(() => isRemoved || startRun());
            }
        }

        function crash(): void {
            lastCrashMilliseconds = clock.getMonotonicMilliseconds();
            engine.crash();
        }

        function remove(): void {
            const left = replicas.filter(sibling => sibling.model === model && !sibling.isRemoved());
            if (left.length < 2 || isRemoved) {
                return;
            }
            isRemoved = true;
            run += 1;
            void gates.get(instanceId)!.stop();
            crash();
            setRecord(ProcessState.GONE, `${instanceId}/${run}`, "", "");
        }
    }

    function countLoads(): number {
        return replicas.filter(replica => replica.engine.isLoading()).length;
    }

    /** Checks the invariants when an engine begins to load. */
    function checkLoad(order: Order): void {
        const loads = countLoads() + 1;
        maximumConcurrentLoads = Math.max(maximumConcurrentLoads, loads);
        if (loads > 2) {
            violations.push(`${loads} loads at once at ${clock.getMonotonicMilliseconds()}`);
        }
        const replica = replicas.find(candidate => candidate.instanceId === order.companion)!;
        const numbers = replica.engine.begunOrders.map(begun => begun.number!.index);
        if (numbers.some((number, place) => place > 0 && number < numbers[place - 1]!)) {
            violations.push(`${order.companion} was given an older order after a newer one`);
        }
        const versions = replica.engine.begunOrders.map(begun => Number(begun.version.slice(1)));
        if (versions.some((version, place) => place > 0 && version < versions[place - 1]!)) {
            violations.push(`${order.companion} was given an older version after a newer one`);
        }
        const detectionMilliseconds = crashDetectionMilliseconds
            + crashDetectionMessages * options.getFaults().delayMilliseconds;
        if (clock.getMonotonicMilliseconds() - lastCrashMilliseconds > detectionMilliseconds) {
            checkFloor(replica);
        }
    }

    /** Checks that a load that takes a replica out of service leaves enough of them in service. */
    function checkFloor(replica: SimulatedReplica): void {
        if (replica.engine.getVersion() === "") {
            return;
        }
        const siblings = replicas.filter(sibling => sibling.model === replica.model && !sibling.isRemoved());
        const serving = siblings.filter(sibling => sibling.engine.getVersion() !== "" && !sibling.engine.isLoading());
        const { capacityFloor } = options;
        const exact = siblings.length * (capacityFloor ?? defaultCapacityFloor);
        if (serving.length - 1 < (capacityFloor === undefined ? Math.floor(exact) : exact)) {
            violations.push(`${serving.length - 1} of ${siblings.length} ${replica.model} in service`);
        }
    }

    function getTargets(): RolloutTargets {
        const { capacityFloor } = options;
        const entries = Object.entries(targets).map(([model, version]) => [model, { version, capacityFloor }] as const);
        return { revision, targets: Object.fromEntries(entries) };
    }

    function startPlanner(): void {
        const ownLeader = ++leader;
        const planner = createRolloutPlanner({
            rollouts: control.part,
            getTargets,
            directory: { getRecords: () => [...records.values()] },
            control: control.createClient(() => ownLeader !== leader),
            sendOrder: order => void deliverOrder(order),
            clock,
            logger,
            timing: { registrationDelayMilliseconds: 1_000, shrinkDelayMilliseconds: 60_000 },
        });
        planners.push(planner);
        planner.start();
    }

    /** Sends an order over the simulated network. */
    async function deliverOrder(order: Order): Promise<void> {
        const { loss, delayMilliseconds, repeat } = options.getFaults();
        if (random.getFraction() < repeat) {
            void clock.sleep(random.getInteger(10 * delayMilliseconds + 1))
                .then(() => gates.get(order.companion)?.addOrder(order));
        }
        if (random.getFraction() >= loss) {
            await clock.sleep(random.getInteger(delayMilliseconds + 1));
            gates.get(order.companion)?.addOrder(order);
        }
    }

    function setTarget(model: string, version: string): void {
        revision += 1n;
        targets[model] = version;
    }

    function changeLeader(keepsPreviousPlanner: boolean): void {
        const previousPlanner = planners.at(-1)!;
        control.changeLeader();
        startPlanner();
        if (!keepsPreviousPlanner) {
            void previousPlanner.stop();
        }
    }

    function setState(model: string, state: RolloutState): void {
        const command = create(CommandSchema, {
            command: { case: "rolloutControl", value: { model, state, author: "operator" } },
        });
        void control.createClient(() => false).execute(command);
    }

    function isDone(): boolean {
        const left = replicas.filter(replica => !replica.isRemoved());
        const areInPlace = left.every(replica => replica.engine.getVersion() === targets[replica.model]);
        const rollouts = control.part.getRollouts();
        const areDone = rollouts.every(rollout => rollout.state === RolloutState.DONE)
            && rollouts.length === Object.keys(targets).length
            && rollouts.every(rollout => rollout.version === targets[rollout.model]);
        return areInPlace && areDone && control.part.getOpenSteps().length === 0;
    }

    async function stop(): Promise<void> {
        stopping.abort();
        const tasks = [...planners.map(planner => planner.stop()), ...[...gates.values()].map(gate => gate.stop())];
        let isStopped = false;
        void Promise.all(tasks).then(() => isStopped = true);
        await clock.runUntil(() => isStopped, Number.MAX_SAFE_INTEGER);
    }
}
