import { createConfigurationView, UpdatableConfigurationView } from "../../../src/control/configuration";
import { createSilentLogger } from "../../../src/logging";
import { createIncarnation, createMembership, Membership } from "../../../src/membership";
import { createMetrics, Metrics } from "../../../src/metrics";
import {
    BackendKind,
    CompanionService,
    createPeerTransports,
    InternalServer,
    PeerTransports,
    ProcessRole,
    ProcessState,
    startInternalServer,
} from "../../../src/protocol";
import { createRandomSource, createSystemClock } from "../../../src/runtime";

/** An entry process or a sidecar without its data path. */
export interface TestProcess {
    address: string;
    incarnation: string;
    configuration: UpdatableConfigurationView;
    membership: Membership;
    metrics: Metrics;
    stop(): Promise<void>;
    /** Disconnects the process before its membership stops, so that it can't announce the shutdown. */
    kill(): Promise<void>;
}

let seed = 1;

/**
 * Starts an entry process or a sidecar in the state `READY`.
 * @param instanceId - The instance id.
 * @param role - The role of the process.
 * @param members - The internal addresses of the control members.
 * @param options - The transports to use instead of new ones, and the sidecars that can give peer confirmation.
 */
export async function startTestProcess(
    instanceId: string,
    role: ProcessRole,
    members: readonly string[],
    options: { transports?: PeerTransports; getPeerAddresses?: () => Promise<readonly string[]>; } = {},
): Promise<TestProcess> {
    seed++;
    const clock = createSystemClock();
    const random = createRandomSource(seed);
    const transports = options.transports ?? createPeerTransports();
    const configuration = createConfigurationView();
    const metrics = createMetrics();
    const server = await startSidecarServer();
    const incarnation = createIncarnation(clock, random);
    const membership = createMembership({
        identity: {
            instanceId,
            incarnation,
            role,
            address: server.address,
            dataCentre: "a",
            region: "test",
            backendKind: BackendKind.ENGINE,
            serves: "large",
        },
        members,
        getPeerAddresses: options.getPeerAddresses,
        transports,
        configuration,
        clock,
        random,
        logger: createSilentLogger(),
        metrics,
    });
    membership.session.setState(ProcessState.READY);
    return { address: server.address, incarnation, configuration, membership, metrics, stop, kill };

    function startSidecarServer(): Promise<InternalServer> {
        return startInternalServer({ address: "127.0.0.1", port: 0 }, router => {
            router.service(CompanionService, {
                vouch: request => membership.stateHandler.confirmRevision(request),
                fetchState: request => membership.stateHandler.fetchState(request),
            });
        });
    }

    async function stop(): Promise<void> {
        await membership.stop();
        await transports.stop();
        await server.stop();
    }

    async function kill(): Promise<void> {
        await transports.stop();
        await server.stop();
        await membership.stop();
    }
}
