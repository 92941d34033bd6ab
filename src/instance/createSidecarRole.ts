/*
 * Assembles a sidecar: membership, scheduler, orders and its backend server.
 */
import { createInvariantError } from "../errors";
import { BackendKind, ProcessRole, ProcessState } from "../protocol";
import { Role } from "../settings";
import {
    BackendState,
    createEngineHealthCheck,
    createOrderExecutor,
    createPausableScheduler,
    createRequestScheduler,
    createSidecar,
    OrderExecutor,
} from "../sidecar";
import { connectKvCacheStore } from "./connectKvCacheStore";
import { createBackend } from "./createBackend";
import { createRoleControlClient } from "./createRoleControlClient";
import { createRoleMembership } from "./createRoleMembership";
import { getRoleInstanceId } from "./getRoleInstanceId";
import { InstanceContext } from "./InstanceContext";
import { InstanceRole } from "./InstanceRole";

/** How long the health check after an order may take. */
const healthCheckDeadlineMilliseconds = 5_000;
/** How long an order waits until the requests in flight have ended. */
const pauseDeadlineMilliseconds = 120_000;

/**
 * Creates the sidecar role of a process.
 * @param context - The shared dependencies of the process's roles.
 */
export function createSidecarRole(context: InstanceContext): InstanceRole {
    const { clock, logger, metrics, settings } = context;
    const sidecarSettings = settings.companion;
    if (sidecarSettings === undefined) {
        throw createInvariantError("The settings of a sidecar have no backend server");
    }
    const isEngine = sidecarSettings.backendKind === "engine";
    const { configuration, identity, membership } = createRoleMembership(context, {
        instanceId: getRoleInstanceId(settings, Role.Sidecar),
        role: ProcessRole.COMPANION,
        backendKind: isEngine ? BackendKind.ENGINE : BackendKind.SERVICE,
        serves: sidecarSettings.serves,
    });
    const { authority, session, stateHandler } = membership;
    const control = createRoleControlClient(context);
    const { backend, stop: stopBackend } = createBackend(sidecarSettings);
    const { kvCacheTransfer, stop: stopKvCacheStore } = connectKvCacheStore(context, backend);
    const scheduler = createPausableScheduler(
        createRequestScheduler({
            clock,
            prefixIndex: backend.kind === "engine" ? backend.index : undefined,
            maximumRunning: sidecarSettings.maximumRunning,
            maximumQueued: sidecarSettings.maximumQueued,
            prefillTokensPerSecond: sidecarSettings.prefillTokensPerSecond,
            blockTokens: settings.routing.pieceTokens,
        }),
        clock,
    );
    const sidecar = createSidecar({
        instanceId: identity.instanceId,
        incarnation: identity.incarnation,
        settings: sidecarSettings,
        backend,
        kvCacheTransfer,
        scheduler,
        authority,
        stateHandler,
        control,
        clock,
        logger,
        metrics,
    });
    const orderExecutor = createSidecarOrderExecutor();
    let hasHadLease = false;
    session.addListener({
        handleOrder: order => orderExecutor?.addOrder(order),
        handleLeavingRequest: startLeaving,
    });
    return { addServices: sidecar.addServices, start, isReady, getStatus, drain, stop };

    /** Creates the executor of orders; undefined for a service, which accepts no orders. */
    function createSidecarOrderExecutor(): OrderExecutor | undefined {
        if (backend.kind !== "engine") {
            return undefined;
        }
        return createOrderExecutor({
            sidecarId: identity.instanceId,
            incarnation: identity.incarnation,
            control,
            engine: backend.adapter,
            clock,
            logger,
            metrics,
            pauseWork: (...[, signal]) => scheduler.pause(pauseDeadlineMilliseconds, signal),
            checkHealth: createEngineHealthCheck(backend.adapter, clock, healthCheckDeadlineMilliseconds),
        });
    }

    async function start(internalAddress: string): Promise<void> {
        session.updateOwnRecord({ address: internalAddress });
        sidecar.addStateListener(publishState);
        publishState(sidecar.getBackendState());
    }

    /** Publishes the current state of the backend server to the control members. */
    function publishState(state: BackendState): void {
        session.updateOwnRecord({
            backendIncarnation: state.incarnation,
            version: state.version,
            adapters: [...state.adapters],
            engineRole: state.role,
            state: getProcessState(state),
            fencingNumber: orderExecutor?.getFencingToken(),
        });
    }

    function isReady(): boolean {
        const state = sidecar.getBackendState();
        hasHadLease ||= authority.isLeaseFresh();
        return state.isReady && !state.isLeaving && hasHadLease;
    }

    function getStatus(): Readonly<Record<string, unknown>> {
        return {
            configurationRevision: String(configuration.getRevision()),
            isLeaseFresh: authority.isLeaseFresh(),
            isConnected: session.isConnected(),
            backendServer: sidecar.getBackendState(),
            attemptsInFlight: sidecar.getInFlightCount(),
            queueLength: scheduler.getQueueLength(),
        };
    }

    function startLeaving(): void {
        session.setState(ProcessState.LEAVING);
        sidecar.startLeaving();
    }

    async function drain(): Promise<void> {
        startLeaving();
        await sidecar.stop();
    }

    async function stop(): Promise<void> {
        await orderExecutor?.stop();
        await membership.stop();
        await stopKvCacheStore();
        await stopBackend();
    }
}

/** Gets the process state that results from the state of the backend server. */
function getProcessState(state: BackendState): ProcessState {
    if (state.isLeaving) {
        return ProcessState.LEAVING;
    }
    return state.isReady ? ProcessState.READY : ProcessState.STARTING;
}
