/*
 * Starts the Régie's deployment in one process: three data centres, each with a control member, an entry process and a
 * locker service, and eight engines distributed over them. Every backend server has its own sidecar.
 */
import { randomBytes } from "node:crypto";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { createConfigurationFile } from "../control/configuration";
import { createInvariantError } from "../errors";
import { RunningInstance, startInstance } from "../instance";
import { createRandomSource, createSystemClock, Stoppable } from "../runtime";
import { createKeyDigest } from "../security";
import { InstanceSettings } from "../settings";
import { createRunLog, EngineStandIn, startEngineStandIn, startServiceStandIn } from "../standIns";
import { createDemoSettings } from "./createDemoSettings";
import { DemoDeployment } from "./DemoDeployment";
import { DemoDeploymentOptions } from "./DemoDeploymentOptions";
import { getFreePorts } from "./getFreePorts";

const dataCentres: readonly string[] = ["brest", "quimper", "rennes"];
const engineCount = 8;
const operatorTokenBytes = 24;
const readyPollMilliseconds = 50;
const loopback = "127.0.0.1";

/**
 * Starts the deployment; resolves when every process is ready.
 * @param options - The folder, configuration, port and seed.
 * @throws An invariant error if a process can't start.
 */
export async function startDemoDeployment(options: DemoDeploymentOptions): Promise<DemoDeployment> {
    const { folder } = options;
    const clock = createSystemClock();
    const runLog = createRunLog();
    const operatorToken = randomBytes(operatorTokenBytes).toString("base64url");
    const configurationFile = join(folder, "configuration.json");
    await writeFile(configurationFile, JSON.stringify(createConfigurationFile(options.levels, "/")));
    const controlPorts = await getFreePorts(dataCentres.length);
    const sidecarPorts = await getFreePorts(engineCount + dataCentres.length);
    const members = controlPorts.map(port => `${loopback}:${port}`);
    const engines: EngineStandIn[] = [];
    const standIns: Stoppable[] = [];
    const sidecars: RunningInstance[] = [];
    const entries = new Map<string, RunningInstance>();
    const entrySettings: InstanceSettings[] = [];
    const controlMembers = await Promise.all(dataCentres.map(startControlMember));
    await Promise.all([...Array(engineCount).keys()].map(startEngine));
    await Promise.all(dataCentres.map(startService));
    for (const dataCentre of dataCentres) {
        await startEntry(await createEntrySettings(dataCentre));
    }
    await waitUntilReady();
    return {
        getCallersAddresses: () => [...entries.values()].map(entry => `http://${entry.addresses.callers}`),
        getOperatorsAddresses: () => controlMembers.map(member => member.addresses.operators ?? ""),
        getOperatorToken: () => operatorToken,
        getRuns: runLog.getEntries,
        crashEngine: () => engines[0]!.crash(),
        restartEntry,
        stop,
    };

    function startControlMember(dataCentre: string, index: number): Promise<RunningInstance> {
        const instanceId = `control-${dataCentre}`;
        return startProcess(createDemoSettings({
            instanceId,
            dataCentre,
            roles: ["control"],
            internalPort: controlPorts[index]!,
            logFile: getLogFile(instanceId),
            members,
            control: {
                bootstrap: true,
                initialConfigurationFile: configurationFile,
                operators: [{ name: "demo", tokenDigest: createKeyDigest(operatorToken), role: "change" }],
            },
            listeners: { operators: { address: loopback, port: 0 } },
            otherSettings: { dataFolder: join(folder, instanceId) },
        }));
    }

    async function startEngine(index: number): Promise<void> {
        const name = `engine-${index + 1}`;
        const random = createRandomSource(options.seed + index);
        const engine = await startEngineStandIn({ name, clock, random, observer: options.observer });
        engines[index] = engine;
        standIns.push(engine);
        const settings = { backendKind: "engine", serves: "large", backendAddress: engine.address };
        await startSidecar(name, dataCentres[index % dataCentres.length]!, sidecarPorts[index]!, settings);
    }

    async function startService(dataCentre: string, index: number): Promise<void> {
        const name = `lockers-${dataCentre}`;
        const service = await startServiceStandIn({ name, runLog, clock, random: createRandomSource(options.seed) });
        standIns.push(service);
        const settings = { backendKind: "service", serves: "lockers", backendAddress: service.address };
        await startSidecar(name, dataCentre, sidecarPorts[engineCount + index]!, settings);
    }

    async function startSidecar(
        name: string,
        dataCentre: string,
        port: number,
        sidecarSettings: object,
    ): Promise<void> {
        const instanceId = `companion-${name}`;
        sidecars.push(
            await startProcess(createDemoSettings({
                instanceId,
                dataCentre,
                roles: ["companion"],
                internalPort: port,
                logFile: getLogFile(instanceId),
                members,
                otherSettings: { companion: sidecarSettings },
            })),
        );
    }

    async function createEntrySettings(dataCentre: string): Promise<InstanceSettings> {
        const instanceId = `entry-${dataCentre}`;
        const [internalPort, freePort] = await getFreePorts(2);
        const isFirst = dataCentre === dataCentres[0];
        const port = isFirst ? options.callersPort ?? freePort : freePort;
        const settings = createDemoSettings({
            instanceId,
            dataCentre,
            roles: ["entry"],
            internalPort: internalPort!,
            logFile: getLogFile(instanceId),
            members,
            listeners: { callers: { address: loopback, port } },
        });
        entrySettings.push(settings);
        return settings;
    }

    async function startEntry(settings: InstanceSettings): Promise<void> {
        entries.set(settings.instanceId, await startProcess(settings));
    }

    function getLogFile(instanceId: string): string {
        return join(folder, `${instanceId}.log`);
    }

    /** Waits until every control member, sidecar and entry process is ready. */
    async function waitUntilReady(): Promise<void> {
        while (![...controlMembers, ...sidecars, ...entries.values()].every(instance => instance.isReady())) {
            await clock.sleep(readyPollMilliseconds);
        }
    }

    /** Restarts the last entry process. The others keep serving, as behind the platform's load balancer. */
    async function restartEntry(): Promise<void> {
        const settings = entrySettings[entrySettings.length - 1]!;
        const entry = entries.get(settings.instanceId)!;
        entries.delete(settings.instanceId);
        await entry.stop();
        await startEntry(settings);
    }

    async function stop(): Promise<void> {
        await Promise.all([...entries.values()].map(entry => entry.stop()));
        await Promise.all(sidecars.map(sidecar => sidecar.stop()));
        await Promise.all(standIns.map(standIn => standIn.stop()));
        await Promise.all(controlMembers.map(member => member.stop()));
    }
}

/** Starts one process of the deployment. */
async function startProcess(settings: InstanceSettings): Promise<RunningInstance> {
    const outcome = await startInstance(settings);
    if (outcome.kind === "failed") {
        throw createInvariantError(`A process of the demonstration can't start: ${outcome.reason}`);
    }
    return outcome.instance;
}
