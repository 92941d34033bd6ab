/*
 * Puts a sidecar together: membership, scheduler, orders and the backend server behind it.
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

const healthCheckDeadlineMilliseconds = 5_000;
const pauseDeadlineMilliseconds = 120_000;

/** Creates the sidecar of a process. */
export function createSidecarRole(context: InstanceContext): InstanceRole {
    const { clock, logger, metrics, settings } = context;
    const sidecarSettings = settings.companion;
    if (sidecarSettings === undefined) {
        throw createInvariantError("The settings of a sidecar name no backend server");
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

    /** Creates the gate of orders; a plain service takes none. */
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

    /** Tells the control members what stands behind the sidecar now. */
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

/** Gets the state that a process with such a backend server has. */
function getProcessState(state: BackendState): ProcessState {
    if (state.isLeaving) {
        return ProcessState.LEAVING;
    }
    return state.isReady ? ProcessState.READY : ProcessState.STARTING;
}
