/*
 * A control member's replicated log on a real disk and over real connections, for measurements.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    addConsensusService,
    ConsensusHandlers,
    createConnectPeers,
    createReplicatedLog,
    ReplicatedLog,
    ReplicatedLogOptions,
    StateMachine,
} from "../../../src/control/consensus";
import { LogStorage, openLogStorage } from "../../../src/control/storage";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics, Metrics } from "../../../src/metrics";
import { createPeerTransports, startInternalServer } from "../../../src/protocol";
import { createRandomSource, createSystemClock, Stoppable } from "../../../src/runtime";

/** A control member with its log. */
export interface MeasuredMember {
    /** The address on which the member listens. */
    address: string;
    /** The member's data folder. */
    folder: string;
    /** The storage of the member's log. */
    storage: LogStorage;
    /** The member's metrics. */
    metrics: Metrics;
    /** The member's log; available after `start`. */
    log: ReplicatedLog & ConsensusHandlers;
    /**
     * Starts the member's log.
     * @param options - Options that override the defaults of the measurement.
     */
    start(options: Partial<ReplicatedLogOptions>): void;
    /** Gets the member's components, in the order in which they must be stopped. */
    getParts(): readonly Stoppable[];
    /**
     * Stops the member.
     * @param isFolderKept - Whether the data folder is kept; it is removed by default.
     */
    stop(isFolderKept?: boolean): Promise<void>;
}

const logger = createSilentLogger();

/**
 * Creates a state machine with a fixed number of values, each of them set by a command. The default is as large as the
 * configuration of many workspaces.
 * @param valueCount - The number of values.
 */
export function createMeasuredStateMachine(valueCount = 500): StateMachine {
    let values: Record<string, string> = {};
    let commandCount = 0;
    return {
        apply(command) {
            commandCount += 1;
            values[String(commandCount % valueCount)] = Buffer.from(command).toString("latin1");
            return Buffer.from(String(commandCount));
        },
        takeSnapshot: () => Buffer.from(JSON.stringify({ values, commandCount })),
        restoreSnapshot(snapshot) {
            ({ values, commandCount } = JSON.parse(Buffer.from(snapshot).toString("utf8")) as {
                values: Record<string, string>;
                commandCount: number;
            });
        },
    };
}

/** Creates a member's data folder, opens its storage and starts listening; errors if the storage can't be opened. */
export async function startMeasuredMember(): Promise<MeasuredMember> {
    const folder = await mkdtemp(join(process.env.BASILWING_MEASURE_FOLDER ?? tmpdir(), "basilwing-measure-"));
    const metrics = createMetrics();
    const outcome = await openLogStorage({ folder, logger, metrics });
    if (outcome.kind !== "opened") {
        throw new Error(outcome.reason);
    }
    const { storage } = outcome;
    const transports = createPeerTransports();
    let log: (ReplicatedLog & ConsensusHandlers) | undefined;
    const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, router =>
        addConsensusService(router, {
            handleVote: async request => log?.handleVote(request),
            handleAppend: async request => log?.handleAppend(request),
            handleHeartbeat: async request => log?.handleHeartbeat(request),
            handleSnapshotPart: async part => log?.handleSnapshotPart(part),
            handleJoin: async request => log?.handleJoin(request),
            handleReadIndex: async request => log?.handleReadIndex(request),
            handleLeadership: async request => log?.handleLeadership(request),
        }));
    return {
        address: server.address,
        folder,
        storage,
        metrics,
        get log() {
            return log!;
        },
        start,
        getParts: () => [log!, transports, server, storage],
        stop,
    };

    function start(options: Partial<ReplicatedLogOptions>): void {
        log = createReplicatedLog({
            group: "measure",
            address: server.address,
            storage,
            peers: createConnectPeers(transports),
            stateMachine: createMeasuredStateMachine(),
            clock: createSystemClock(),
            random: createRandomSource(Number(server.address.split(":")[1])),
            logger,
            metrics,
            ...options,
        });
    }

    async function stop(isFolderKept = false): Promise<void> {
        for (const part of [log!, transports, server, storage]) {
            await part.stop();
        }
        if (!isFolderKept) {
            await rm(folder, { recursive: true });
        }
    }
}
