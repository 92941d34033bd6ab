/*
 * Runs one part of the request path in a separate process, so that its processor time is measured separately.
 */
import { createEngineAdapter } from "../../../src/backends";
import { createConfigurationSnapshot, createConfigurationView } from "../../../src/control/configuration";
import { startEntry } from "../../../src/entry";
import { createWorkloadConfiguration } from "../../../src/experiment";
import { createFixedAuthority } from "../../../src/experiment/deployment/createFixedAuthority";
import { experimentEntrySettings } from "../../../src/experiment/deployment/experimentEntrySettings";
import { startSidecarProcess } from "../../../src/experiment/deployment/startSidecarProcess";
import { createSilentLogger } from "../../../src/logging";
import { createDirectory } from "../../../src/membership";
import { createMetrics } from "../../../src/metrics";
import { createPeerTransports, ProcessRecord } from "../../../src/protocol";
import { createPlacement } from "../../../src/routing";
import { createRandomSource, createSystemClock } from "../../../src/runtime";
import { createFifoScheduler, createPrefixIndex } from "../../../src/sidecar";
import { ProcessPart } from "./ProcessPart";

const maximumRunning = 1_024;
const maximumQueued = 1_024;
const readyPollMilliseconds = 20;

const clock = createSystemClock();

process.on("message", message => {
    if (message === "usage") {
        process.send!(process.cpuUsage());
        return;
    }
    void start(message as ProcessPart).then(address => process.send!(address));
});
process.on("disconnect", () => process.exit());

function start(part: ProcessPart): Promise<string> {
    return part.kind === "sidecar" ? startSidecar(part.engineAddress) : startEntryProcess(part.sidecar);
}

async function startSidecar(engineAddress: string): Promise<string> {
    const sidecar = await startSidecarProcess({
        instanceId: "engine-1",
        serves: "large",
        backendAddress: engineAddress,
        backend: {
            kind: "engine",
            adapter: createEngineAdapter({ address: engineAddress }),
            index: createPrefixIndex(),
        },
        scheduler: createFifoScheduler({ clock, maximumRunning, maximumQueued }),
        prefillTokensPerSecond: 20_000,
        clock,
        metrics: createMetrics(),
    });
    while (!sidecar.sidecar.getBackendState().isReady) {
        await clock.sleep(readyPollMilliseconds);
    }
    return sidecar.address;
}

async function startEntryProcess(sidecar: ProcessRecord): Promise<string> {
    const subscriber = { workspace: "one", team: "team", path: "/one/team/caller", key: "key-of-caller" };
    const levels = createWorkloadConfiguration([subscriber]);
    const configuration = createConfigurationView();
    configuration.applySnapshot(createConfigurationSnapshot(levels, 1n));
    const directory = createDirectory({ clock });
    directory.mergeRecord(sidecar);
    const entry = await startEntry({
        listener: { address: "127.0.0.1", port: 0 },
        settings: experimentEntrySettings,
        routing: { pieceTokens: 4_096, bytesPerToken: 1 },
        configuration,
        directory,
        authority: createFixedAuthority(1n),
        placement: createPlacement({ clock, random: createRandomSource(1) }),
        transports: createPeerTransports(),
        control: undefined,
        clock,
        random: createRandomSource(1),
        logger: createSilentLogger(),
        metrics: createMetrics(),
    });
    return `http://${entry.address}`;
}
