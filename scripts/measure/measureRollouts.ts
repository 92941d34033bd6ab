/*
 * Measures a rollout of 8 replicas with three strategies: by the planner, one at a time, and all at once. Engine stand-ins
 * fetch their weights from one weight store stand-in over HTTP. Prints a line of JSON for each figure.
 */
import { create } from "@bufbuild/protobuf";
import { createEngineAdapter, EngineAdapter } from "../../src/backends";
import { createRolloutPlanner, getNextOrder, groupSidecarsByModel } from "../../src/control/placement";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import {
    BackendKind,
    Order,
    OrderKind,
    OrderSchema,
    ProcessRecord,
    ProcessRecordSchema,
    ProcessRole,
    ProcessState,
    RolloutState,
} from "../../src/protocol";
import { createRandomSource, createSystemClock } from "../../src/runtime";
import { createEngineHealthCheck, createOrderExecutor, OrderExecutor } from "../../src/sidecar/orders";
import { EngineStandIn, startEngineStandIn } from "../../src/standIns/engine";
import { createWeightStoreSource, startWeightStoreStandIn } from "../../src/standIns/weightStore";
import { createTestControl } from "../../tests/control/placement/createTestControl";

const replicas = 8;
const model = "large";
const capacityFloor = 0.75;
const reportMilliseconds = 100;
const sampleMilliseconds = 5;
const healthMilliseconds = 10_000;
const fleetSize = 1_900;
const fleetModels = 22;
const passes = 200;
const clock = createSystemClock();

/** The engines of one rollout, with a separate weight store. */
interface Fleet {
    engines: readonly EngineStandIn[];
    adapters: readonly EngineAdapter[];
    getMaximumConcurrentFetches(): number;
    stop(): Promise<void>;
}

/** Starts the engines at version 1. */
async function startFleet(): Promise<Fleet> {
    const store = await startWeightStoreStandIn();
    const weightSource = createWeightStoreSource(store.address);
    const engines = await Promise.all(
        Array.from({ length: replicas }, () => startEngineStandIn({ model, version: "1", weightSource })),
    );
    const adapters = engines.map(engine => createEngineAdapter({ address: engine.address }));
    return { engines, adapters, getMaximumConcurrentFetches: store.getMaximumConcurrentFetches, stop };

    async function stop(): Promise<void> {
        await Promise.all(engines.map(engine => engine.stop()));
        await store.stop();
    }
}

/** Creates an order to load version 2 that belongs to no rollout. */
function createOrder(number: number): Order {
    return create(OrderSchema, {
        number: { term: 1n, index: BigInt(number + 1) },
        kind: OrderKind.LOAD_VERSION,
        model,
        version: "2",
    });
}

/** Runs a rollout with one strategy and prints its figures. */
async function measureStrategy(
    name: string,
    rollOut: (fleet: Fleet, loads: Map<number, number>) => Promise<void>,
): Promise<void> {
    const fleet = await startFleet();
    const busy = new Map<number, number>();
    let minimumInService = replicas;
    let isDone = false;
    const sampling = (async () => {
        while (!isDone) {
            minimumInService = Math.min(minimumInService, replicas - busy.size);
            await clock.sleep(sampleMilliseconds);
        }
    })();
    const start = clock.getMonotonicMilliseconds();
    await rollOut(fleet, busy);
    const elapsed = clock.getMonotonicMilliseconds() - start;
    isDone = true;
    await sampling;
    if (fleet.engines.some(engine => engine.getVersion() !== "2")) {
        throw new Error(`${name} did not update all engines`);
    }
    print(`rollouts.${name}.total`, Math.round(elapsed), "milliseconds");
    print(`rollouts.${name}.leastInService`, minimumInService, "replicas");
    print(`rollouts.${name}.mostFetches`, fleet.getMaximumConcurrentFetches(), "fetches");
    await fleet.stop();
}

function print(name: string, value: number, unit: string): void {
    console.log(JSON.stringify({ name, value, unit }));
}

/** Loads version 2 on one engine, which counts as busy meanwhile. */
async function load(fleet: Fleet, busy: Map<number, number>, number: number): Promise<void> {
    busy.set(number, clock.getMonotonicMilliseconds());
    await fleet.adapters[number]!.execute(createOrder(number));
    busy.delete(number);
}

async function rollOneByOne(fleet: Fleet, busy: Map<number, number>): Promise<void> {
    for (let number = 0; number < replicas; number += 1) {
        await load(fleet, busy, number);
    }
}

async function rollAllAtOnce(fleet: Fleet, busy: Map<number, number>): Promise<void> {
    await Promise.all(fleet.engines.map((...[, number]) => load(fleet, busy, number)));
}

/** Rolls out with the planner and the order executors, on a replicated state in this process. */
async function rollByPlanner(fleet: Fleet, busy: Map<number, number>): Promise<void> {
    const control = createTestControl(clock, createRandomSource(1), () => ({ loss: 0, delayMilliseconds: 1 }));
    const client = control.createClient(() => false);
    const records = new Map<string, ProcessRecord>();
    const logger = createSilentLogger();
    let isDone = false;
    const executors = new Map<string, OrderExecutor>(fleet.adapters.map((engine, number) => {
        const sidecar = `${model}-${number}`;
        const gate = createOrderExecutor({
            sidecarId: sidecar,
            incarnation: "run-1",
            control: client,
            engine,
            clock,
            logger,
            metrics: createMetrics(),
            pauseWork: async () => {
                busy.set(number, clock.getMonotonicMilliseconds());
                return () => void busy.delete(number);
            },
            checkHealth: createEngineHealthCheck(engine, clock, healthMilliseconds),
        });
        return [sidecar, gate];
    }));
    const reports = fleet.adapters.map((engine, number) => reportRecords(engine, `${model}-${number}`));
    const planner = createRolloutPlanner({
        rollouts: control.part,
        getTargets: () => ({ revision: 2n, targets: { [model]: { version: "2", capacityFloor } } }),
        directory: { getRecords: () => [...records.values()] },
        control: client,
        sendOrder: order => executors.get(order.companion)!.addOrder(order),
        clock,
        logger,
        timing: { registrationDelayMilliseconds: reportMilliseconds * 3 },
    });
    planner.start();
    while (control.part.getRollout(model)?.state !== RolloutState.DONE) {
        await clock.sleep(sampleMilliseconds);
    }
    isDone = true;
    await Promise.all([planner.stop(), ...reports, ...[...executors.values()].map(executor => executor.stop())]);

    async function reportRecords(engine: EngineAdapter, instanceId: string): Promise<void> {
        while (!isDone) {
            const report = await engine.getLoad();
            records.set(
                instanceId,
                create(ProcessRecordSchema, {
                    instanceId,
                    incarnation: "run-1",
                    role: ProcessRole.COMPANION,
                    state: ProcessState.READY,
                    backendKind: BackendKind.ENGINE,
                    backendIncarnation: report?.incarnation,
                    serves: model,
                    version: report?.version,
                    engineRole: report?.role,
                }),
            );
            await clock.sleep(reportMilliseconds);
        }
    }
}

/** Measures the leader's cost of one planner pass over a large fleet that needs no orders. */
function measurePass(): void {
    const records = Array.from({ length: fleetSize }, (...[, number]) =>
        create(ProcessRecordSchema, {
            instanceId: `instance-${(number * 7_919) % fleetSize}`,
            role: ProcessRole.COMPANION,
            state: ProcessState.READY,
            backendKind: BackendKind.ENGINE,
            serves: `model-${number % fleetModels}`,
            version: "2",
        }));
    const target = { version: "2", adapters: [], roles: {} };
    const passOnce = () =>
        [...groupSidecarsByModel(records).values()].every(group =>
            group.every(record => getNextOrder(record, target) === undefined)
        );
    Array.from({ length: passes }).forEach(passOnce);
    const before = process.cpuUsage();
    Array.from({ length: passes }).forEach(passOnce);
    const { user, system } = process.cpuUsage(before);
    print("rollouts.pass.processor", Math.round((user + system) / passes), "microseconds");
}

async function run(): Promise<void> {
    await measureStrategy("planner", rollByPlanner);
    await measureStrategy("oneByOne", rollOneByOne);
    await measureStrategy("allAtOnce", rollAllAtOnce);
    measurePass();
}

void run();
