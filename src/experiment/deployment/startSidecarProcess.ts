/*
 * Starts a sidecar and its internal server.
 */
import { createSilentLogger } from "../../logging";
import { Metrics } from "../../metrics";
import { BackendKind, startInternalServer } from "../../protocol";
import { Clock } from "../../runtime";
import { Backend, createSidecar, SidecarOptions } from "../../sidecar";
import { createFixedAuthority } from "./createFixedAuthority";
import { SidecarProcess } from "./SidecarProcess";

const maximumRunning = 32;
const maximumQueued = 1_024;
const drainDeadlineMilliseconds = 5_000;

interface SidecarProcessOptions {
    /** The instance's id. */
    instanceId: string;
    /** The name of the model or service that the backend server serves. */
    serves: string;
    /** The backend server's address. */
    backendAddress: string;
    /** The backend server, with its adapter. */
    backend: Backend;
    /** The scheduler of the sidecar's requests. */
    scheduler: SidecarOptions["scheduler"];
    /** The engine's prefill rate, in tokens per second. */
    prefillTokensPerSecond: number;
    /** The clock of the sidecar. */
    clock: Clock;
    /** The metrics of the sidecar. */
    metrics: Metrics;
}

/**
 * Starts a sidecar that listens on a free port of the loopback address.
 * @param options - The sidecar's identity, backend server and scheduler.
 */
export async function startSidecarProcess(options: SidecarProcessOptions): Promise<SidecarProcess> {
    const { backend, clock, instanceId, metrics, scheduler, serves } = options;
    const incarnation = `${instanceId}-companion`;
    const sidecar = createSidecar({
        instanceId,
        incarnation,
        settings: {
            backendKind: backend.kind,
            serves,
            backendAddress: options.backendAddress,
            maximumRunning,
            maximumQueued,
            prefillTokensPerSecond: options.prefillTokensPerSecond,
            drainDeadlineMilliseconds,
        },
        backend,
        scheduler,
        authority: createFixedAuthority(1n),
        clock,
        logger: createSilentLogger(),
        metrics,
    });
    const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, sidecar.addServices);
    return {
        instanceId,
        incarnation,
        address: server.address,
        serves,
        backendKind: backend.kind === "engine" ? BackendKind.ENGINE : BackendKind.SERVICE,
        sidecar,
        stop,
    };

    async function stop(): Promise<void> {
        await sidecar.stop();
        await server.stop();
    }
}
