/*
 * Starts a deployment in this process: stand-ins for engines and services, each with its sidecar, and entries.
 */
import { createEngineAdapter, createServiceAdapter } from "../../backends";
import { createConfigurationSnapshot, createConfigurationView } from "../../control/configuration";
import { Entry, startEntry } from "../../entry";
import { createSilentLogger } from "../../logging";
import { createMetrics } from "../../metrics";
import { createPeerTransports } from "../../protocol";
import { createRandomSource } from "../../runtime";
import { createRunLog, EngineStandIn, startEngineStandIn, startServiceStandIn } from "../../standIns";
import { createDeploymentDirectory } from "./createDeploymentDirectory";
import { createFixedAuthority } from "./createFixedAuthority";
import { createWorkloadConfiguration } from "./createWorkloadConfiguration";
import { Deployment } from "./Deployment";
import { DeploymentOptions } from "./DeploymentOptions";
import { experimentEntrySettings } from "./experimentEntrySettings";
import { SidecarProcess } from "./SidecarProcess";
import { startSidecarProcess } from "./startSidecarProcess";

const readyPollMilliseconds = 20;
const modelName = "large";

interface BackendProcess {
    process: SidecarProcess;
    stop(): Promise<void>;
}

/**
 * Starts a deployment; resolves once every sidecar's backend server is ready and the entries accept requests.
 * @param options - The number of processes, the workload to serve and the components of the policy.
 */
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
    const { clock, workload } = options;
    const runLog = createRunLog();
    const engines: EngineStandIn[] = [];
    const configuration = createConfigurationView();
    configuration.applySnapshot(createConfigurationSnapshot(createWorkloadConfiguration(workload.subscribers), 1n));
    const backends = await startBackends();
    const sidecars = backends.map(backend => backend.process);
    await waitUntilReady();
    let startedEntryCount = 0;
    let entries = await startEntries();
    return {
        engines,
        getAddresses: () => entries.map(entry => `http://${entry.address}`),
        getRuns: runLog.getEntries,
        restartEntries,
        stop,
    };

    async function startBackends(): Promise<readonly BackendProcess[]> {
        const engineIndexes = [...Array(options.engineCount).keys()];
        const serviceIndexes = [...Array(options.serviceReplicaCount).keys()];
        return Promise.all([...engineIndexes.map(startEngine), ...serviceIndexes.map(startService)]);
    }

    async function startEngine(index: number): Promise<BackendProcess> {
        const name = `engine-${index + 1}`;
        const engine = await startEngineStandIn({
            name,
            model: modelName,
            clock,
            random: createRandomSource(options.seed + index),
            prefillTokensPerSecond: options.prefillTokensPerSecond,
            observer: options.observer,
        });
        engines[index] = engine;
        const adapter = createEngineAdapter({ address: engine.address });
        const prefixIndex = options.createIndex();
        const process = await startSidecarProcess({
            instanceId: name,
            serves: modelName,
            backendAddress: engine.address,
            backend: { kind: "engine", adapter, index: prefixIndex },
            scheduler: options.createScheduler(prefixIndex),
            prefillTokensPerSecond: options.prefillTokensPerSecond,
            clock,
            metrics: createMetrics(),
        });
        return { process, stop: () => stopInOrder([process, adapter, engine]) };
    }

    async function startService(index: number): Promise<BackendProcess> {
        const name = `service-${index + 1}`;
        const random = createRandomSource(options.seed + options.engineCount + index);
        const service = await startServiceStandIn({ name, runLog, clock, random });
        const adapter = createServiceAdapter({ address: service.address });
        const process = await startSidecarProcess({
            instanceId: name,
            serves: getServiceName(),
            backendAddress: service.address,
            backend: { kind: "service", adapter },
            scheduler: options.createScheduler(undefined),
            prefillTokensPerSecond: options.prefillTokensPerSecond,
            clock,
            metrics: createMetrics(),
        });
        return { process, stop: () => stopInOrder([process, adapter, service]) };
    }

    function getServiceName(): string {
        const request = workload.requests.find(candidate => candidate.kind === "service");
        return request?.kind === "service" ? request.service : "lockers";
    }

    async function waitUntilReady(): Promise<void> {
        while (!sidecars.every(process => process.sidecar.getBackendState().isReady)) {
            await clock.sleep(readyPollMilliseconds);
        }
    }

    function startEntries(): Promise<readonly Entry[]> {
        return Promise.all([...Array(options.entryCount).keys()].map(startEntryWithTransports));
    }

    /** Starts an entry with its own connections to the sidecars. */
    async function startEntryWithTransports(): Promise<Entry> {
        startedEntryCount += 1;
        const transports = createPeerTransports();
        const entry = await startEntry({
            listener: { address: "127.0.0.1", port: 0 },
            settings: experimentEntrySettings,
            routing: { pieceTokens: 4_096, bytesPerToken: 1 },
            configuration,
            directory: createDeploymentDirectory(sidecars, clock),
            authority: createFixedAuthority(1n),
            placement: options.createPlacement(),
            mayRedirect: options.mayRedirect,
            transports,
            control: undefined,
            clock,
            random: createRandomSource(options.seed + startedEntryCount),
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        return { ...entry, stop: () => stopInOrder([entry, transports]) };
    }

    async function restartEntries(): Promise<void> {
        const previousEntries = entries;
        entries = await startEntries();
        await Promise.all(previousEntries.map(entry => entry.stop()));
    }

    async function stop(): Promise<void> {
        await Promise.all(entries.map(entry => entry.stop()));
        await Promise.all(backends.map(backend => backend.stop()));
    }
}

/** Stops the parts one after the other. */
async function stopInOrder(parts: readonly { stop(): Promise<void>; }[]): Promise<void> {
    for (const part of parts) {
        await part.stop();
    }
}
