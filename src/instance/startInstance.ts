/*
 * Starts one process from its settings, with its identities, connections, roles and listeners, and stops them in an
 * order that lets requests in flight complete.
 */
import { randomInt } from "node:crypto";
import { AdministrationServer, startAdministrationServer } from "../administration";
import { getErrorMessage, hasErrorCode } from "../errors";
import { createLogger } from "../logging";
import { createMetrics } from "../metrics";
import { createPeerTransports, InternalServer, startInternalServer } from "../protocol";
import { createRandomSource, createSystemClock } from "../runtime";
import { TlsIdentity } from "../security";
import { InstanceSettings, Role } from "../settings";
import { createControlRole } from "./createControlRole";
import { createEntryRole } from "./createEntryRole";
import { createSidecarRole } from "./createSidecarRole";
import { InstanceContext } from "./InstanceContext";
import { InstanceRole } from "./InstanceRole";
import { loadListenerIdentities } from "./loadListenerIdentities";
import { RunningInstance } from "./RunningInstance";
import { StartOutcome } from "./StartOutcome";

/** The exclusive upper limit of random seeds. */
const seedLimit = 2 ** 31;

/**
 * Starts a process.
 * @param settings - The process's settings, which have been validated.
 */
export async function startInstance(settings: InstanceSettings): Promise<StartOutcome> {
    const clock = createSystemClock();
    const logger = createLogger(settings.instanceId, settings.logging);
    const identitiesOutcome = await loadListenerIdentities(settings, clock, logger);
    if (identitiesOutcome.kind === "invalid") {
        return { kind: "failed", reason: identitiesOutcome.problem };
    }
    const { identities } = identitiesOutcome;
    const context: InstanceContext = {
        settings,
        identities,
        transports: createPeerTransports({
            identity: identities.internal,
            allowPlain: settings.listeners.internal.allowPlain,
        }),
        clock,
        random: createRandomSource(randomInt(seedLimit)),
        logger,
        metrics: createMetrics(),
    };
    const control = settings.roles.includes(Role.Control) ? await createControlRole(context) : undefined;
    if (control?.kind === "failed") {
        return control;
    }
    const sidecar = settings.roles.includes(Role.Sidecar) ? createSidecarRole(context) : undefined;
    const entry = settings.roles.includes(Role.Entry) ? createEntryRole(context) : undefined;
    const roles = { entry, sidecar, control: control?.role };
    try {
        return { kind: "started", instance: await startRoles(context, roles) };
    }
    catch (error) {
        if (hasErrorCode(error, "EADDRINUSE", "EADDRNOTAVAIL", "EACCES")) {
            return { kind: "failed", reason: `A listener can't be opened: ${getErrorMessage(error)}` };
        }
        throw error;
    }
}

/** The roles of a process; undefined for roles that the process doesn't have. */
interface ProcessRoles {
    entry: ReturnType<typeof createEntryRole> | undefined;
    sidecar: InstanceRole | undefined;
    control: Extract<Awaited<ReturnType<typeof createControlRole>>, { kind: "created"; }>["role"] | undefined;
}

/** Opens the listeners and starts the roles. */
async function startRoles(context: InstanceContext, roles: ProcessRoles): Promise<RunningInstance> {
    const { clock, identities, logger, metrics, settings, transports } = context;
    const activeRoles = [roles.entry, roles.sidecar, roles.control].filter(role => role !== undefined);
    const internal: InternalServer = await startInternalServer(
        settings.listeners.internal,
        router => activeRoles.forEach(role => role.addServices(router)),
        { identity: identities.internal, metrics, logger, clock },
    );
    for (const role of [roles.control, roles.sidecar, roles.entry]) {
        await role?.start(internal.address);
    }
    const administration = await startAdministration();
    logger.info({ roles: settings.roles, internal: internal.address }, "process started");
    return {
        addresses: {
            internal: internal.address,
            callers: roles.entry?.getCallersAddress(),
            operators: roles.control?.getOperatorsAddress(),
            administration: administration?.address,
        },
        isReady,
        getStatus,
        stop,
    };

    async function startAdministration(): Promise<AdministrationServer | undefined> {
        const listener = settings.listeners.administration;
        const identity = identities.administration;
        return listener && startAdministrationServer({ listener, identity, metrics, isReady, getStatus });
    }

    function isReady(): boolean {
        return activeRoles.every(role => role.isReady());
    }

    function getStatus(): Readonly<Record<string, unknown>> {
        return {
            instanceId: settings.instanceId,
            entry: roles.entry?.getStatus(),
            companion: roles.sidecar?.getStatus(),
            control: roles.control?.getStatus(),
        };
    }

    /** Drains the entry role first, since its requests need the other roles, and the control member last. */
    async function stop(): Promise<void> {
        logger.info("process stopping");
        await roles.entry?.drain();
        await roles.sidecar?.drain();
        await roles.control?.drain();
        for (const role of activeRoles) {
            await role.stop();
        }
        await internal.stop();
        await transports.stop();
        await administration?.stop();
        await Promise.all(Object.values(identities).map((identity: TlsIdentity | undefined) => identity?.stop()));
    }
}
