import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    addConsensusService,
    ConsensusHandlers,
    createConnectPeers,
    createReplicatedLog,
    ReplicatedLog,
    ReplicatedLogOptions,
} from "../../../src/control/consensus";
import { LogStorage, openLogStorage } from "../../../src/control/storage";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics, Metrics } from "../../../src/metrics";
import { createPeerTransports, startInternalServer } from "../../../src/protocol";
import { createRandomSource, createSystemClock, Stoppable } from "../../../src/runtime";
import { createListMachine, ListMachine } from "./createListMachine";

/** A member on a real disk that is reached over ConnectRPC. */
export interface TestMember {
    address: string;
    folder: string;
    storage: LogStorage;
    machine: ListMachine;
    metrics: Metrics;
    log: ReplicatedLog;
    /** Starts the member's log; until then, the member responds as if it had stopped. */
    start(options: Partial<ReplicatedLogOptions>): void;
    /** Gets the member's components, in the order in which they are stopped. */
    getParts(): readonly Stoppable[];
    stop(): Promise<void>;
}

const logger = createSilentLogger();

/** Opens a member's folder and starts its server; `start` starts its log. */
export async function startTestMember(existingFolder?: string, port = 0): Promise<TestMember> {
    const folder = existingFolder ?? await mkdtemp(join(tmpdir(), "basilwing-log-"));
    const metrics = createMetrics();
    const opened = await openLogStorage({ folder, logger, metrics });
    if (opened.kind !== "opened") {
        throw new Error(opened.reason);
    }
    const { storage } = opened;
    const transports = createPeerTransports();
    const machine = createListMachine();
    let handlers: (ReplicatedLog & ConsensusHandlers) | undefined;
    const server = await startInternalServer({ address: "127.0.0.1", port }, router =>
        addConsensusService(router, {
            handleVote: async request => handlers?.handleVote(request),
            handleAppend: async request => handlers?.handleAppend(request),
            handleHeartbeat: async request => handlers?.handleHeartbeat(request),
            handleSnapshotPart: async part => handlers?.handleSnapshotPart(part),
            handleJoin: async request => handlers?.handleJoin(request),
            handleReadIndex: async request => handlers?.handleReadIndex(request),
            handleLeadership: async request => handlers?.handleLeadership(request),
        }));
    const member: TestMember = {
        address: server.address,
        folder,
        storage,
        machine,
        metrics,
        get log() {
            return handlers!;
        },
        start,
        getParts,
        stop,
    };
    return member;

    function start(options: Partial<ReplicatedLogOptions>): void {
        handlers = createReplicatedLog({
            group: "test",
            address: server.address,
            storage,
            peers: createConnectPeers(transports, 300),
            stateMachine: machine,
            clock: createSystemClock(),
            random: createRandomSource(Number(server.address.split(":")[1])),
            logger,
            metrics,
            timing: {
                heartbeatIntervalMilliseconds: 50,
                minimumElectionTimeoutMilliseconds: 400,
                maximumElectionTimeoutMilliseconds: 800,
                maintenanceIntervalMilliseconds: 50,
            },
            ...options,
        });
    }

    function getParts(): readonly Stoppable[] {
        return [...(handlers ? [handlers] : []), transports, server, storage];
    }

    async function stop(): Promise<void> {
        for (const part of getParts()) {
            await part.stop();
        }
    }
}
