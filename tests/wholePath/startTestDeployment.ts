/*
 * A deployment for tests of the whole request path.
 */
import { create } from "@bufbuild/protobuf";
import { createHash } from "node:crypto";
import { createEngineAdapter, createServiceAdapter } from "../../src/backends";
import {
    createConfigurationSnapshot,
    createConfigurationView,
    parseConfigurationFile,
} from "../../src/control/configuration";
import { Entry, startEntry } from "../../src/entry";
import { createSilentLogger } from "../../src/logging";
import { Authority, Directory } from "../../src/membership";
import { createMetrics, Metrics } from "../../src/metrics";
import {
    BackendKind,
    createPeerTransports,
    ProcessRecord,
    ProcessRecordSchema,
    ProcessRole,
    ProcessState,
    startInternalServer,
} from "../../src/protocol";
import { Placement } from "../../src/routing";
import { createRandomSource, createSystemClock, Stoppable } from "../../src/runtime";
import { TlsIdentity } from "../../src/security";
import { createFifoScheduler, createSidecar, PrefixIndex, Sidecar } from "../../src/sidecar";
import { EngineStandIn, ServiceStandIn, startEngineStandIn, startServiceStandIn } from "../../src/standIns";

/** The API key of the only subscriber of a test deployment. */
export const testKey = "key-of-anna-0123456789";

/**
 * An entry process, engines and one service with their sidecars, all in the process of the test, with a fixed configuration
 * and directory.
 */
export interface TestDeployment extends Stoppable {
    entry: Entry;
    engines: readonly EngineStandIn[];
    service: ServiceStandIn;
    /** The metrics of the entry process. */
    metrics: Metrics;
}

const configuration = {
    settings: {
        models: { large: { allowed: true } },
        services: {
            lockers: [
                { method: "POST", path: "/release", idempotent: false },
                { method: "GET", path: "/status", idempotent: true },
                { method: "POST", path: "/report", idempotent: true },
            ],
        },
    },
    workspaces: {
        regie: {
            teams: {
                counter: {
                    subscribers: {
                        anna: { settings: { keyDigests: [createHash("sha256").update(testKey).digest("hex")] } },
                    },
                },
            },
        },
    },
};

/**
 * Starts a deployment. All its listeners are on loopback, on ports that the operating system chooses.
 * @param engineCount - The number of engines, which all serve one model.
 * @param identity - The TLS identity of the listener for callers; plain HTTP where undefined.
 * @param serviceAddresses - The addresses of servers that take the place of the service's stand-in.
 */
export async function startTestDeployment(
    engineCount: number,
    identity?: TlsIdentity,
    serviceAddresses?: readonly string[],
): Promise<TestDeployment> {
    const clock = createSystemClock();
    const logger = createSilentLogger();
    const metrics = createMetrics();
    const transports = createPeerTransports();
    const stoppables: Stoppable[] = [];
    const sidecars: { instanceId: string; address: string; serves: string; sidecar: Sidecar; }[] = [];
    const engines: EngineStandIn[] = [];
    for (let index = 0; index < engineCount; index++) {
        const engine = await startEngineStandIn({ name: `engine-${index}`, decodeStepMilliseconds: 1 });
        engines.push(engine);
        const adapter = createEngineAdapter({ address: engine.address });
        await addSidecar(`companion-${index}`, "large", { kind: "engine", adapter, index: createEmptyIndex() });
    }
    const service = await startServiceStandIn({});
    for (const [index, address] of (serviceAddresses ?? [service.address]).entries()) {
        const serviceAdapter = createServiceAdapter({ address });
        const instanceId = index === 0 ? "companion-service" : `companion-service-${index}`;
        await addSidecar(instanceId, "lockers", { kind: "service", adapter: serviceAdapter });
    }
    const configurationView = createConfigurationView({});
    const parsedConfiguration = parseConfigurationFile(configuration, "/");
    if (parsedConfiguration.kind !== "read") {
        throw new Error(JSON.stringify(parsedConfiguration));
    }
    configurationView.applySnapshot(createConfigurationSnapshot(parsedConfiguration.levels, 1n));
    const entry = await startEntry({
        listener: { address: "127.0.0.1", port: 0 },
        identity,
        settings: {
            maximumBodyBytes: 1_000_000,
            maximumHeaderBytes: 16_384,
            maximumConnections: 100,
            maximumRequestsInFlight: 100,
            requestTimeoutMilliseconds: 10_000,
            idleTimeoutMilliseconds: 10_000,
            defaultDeadlineMilliseconds: 30_000,
            retryBudgetShare: 1,
            drainDeadlineMilliseconds: 10_000,
        },
        routing: { pieceTokens: 4_096, bytesPerToken: 1 },
        configuration: configurationView,
        directory: createFakeDirectory(),
        authority: createFakeAuthority(),
        placement: createFakePlacement(),
        transports,
        control: undefined,
        clock,
        random: createRandomSource(1),
        logger,
        metrics,
    });
    await waitUntil(() => sidecars.every(({ sidecar }) => sidecar.getBackendState().isReady));
    return { entry, engines, service, metrics, stop };

    async function addSidecar(
        instanceId: string,
        serves: string,
        backend: Parameters<typeof createSidecar>[0]["backend"],
    ): Promise<void> {
        const sidecar = createSidecar({
            instanceId,
            incarnation: `${instanceId}-1`,
            settings: {
                backendKind: backend.kind,
                serves,
                backendAddress: "",
                maximumRunning: 32,
                maximumQueued: 100,
                prefillTokensPerSecond: 20_000,
                drainDeadlineMilliseconds: 10_000,
            },
            backend,
            scheduler: createFifoScheduler({ clock, maximumQueued: 100, maximumRunning: 32 }),
            authority: createFakeAuthority(),
            clock,
            logger,
            metrics: createMetrics(),
        });
        const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, sidecar.addServices);
        sidecars.push({ instanceId, address: server.address, serves, sidecar });
        stoppables.push(sidecar, server);
    }

    function createFakeDirectory(): Directory {
        return {
            getCandidates: serves => getRecords().filter(record => record.serves === serves),
            getRecord: instanceId => getRecords().find(record => record.instanceId === instanceId),
            getRecords,
            addSuspicion: () => {},
            addLeaving: () => {},
            getChangeNumber: () => 1,
        };
    }

    function getRecords(): ProcessRecord[] {
        return sidecars.map(({ address, sidecar, instanceId, serves }) => {
            const state = sidecar.getBackendState();
            return create(ProcessRecordSchema, {
                instanceId,
                incarnation: `${instanceId}-1`,
                role: ProcessRole.COMPANION,
                state: ProcessState.READY,
                address,
                backendKind: serves === "large" ? BackendKind.ENGINE : BackendKind.SERVICE,
                backendIncarnation: state.incarnation,
                serves,
                version: state.version,
            });
        });
    }

    async function stop(): Promise<void> {
        await entry.stop();
        await transports.stop();
        for (const stoppable of stoppables.reverse()) {
            await stoppable.stop();
        }
        await Promise.all([...engines.map(engine => engine.stop()), service.stop()]);
    }
}

function createFakeAuthority(): Authority {
    return {
        isLeaseFresh: () => true,
        hasOwnAuthority: () => true,
        getRevision: () => 1n,
        addSeenRevision: () => {},
        checkAuthority: () => Promise.resolve(true),
    };
}

function createFakePlacement(): Placement {
    return { rank: (...[, candidates]) => candidates, addObservation: () => {} };
}

function createEmptyIndex(): PrefixIndex {
    return {
        getCachedBlocks: () => 0,
        getLikelyBlocks: () => 0,
        addEvent: () => {},
        addResponse: () => {},
        reset: () => {},
        getSize: () => 0,
    };
}

/** Waits until a condition holds, without a time limit other than the test's. */
async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}
