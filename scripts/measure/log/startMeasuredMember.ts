/*
 * A control member's log on a real disk and over real connections, for measurements.
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

/** A member that is measured. */
export interface MeasuredMember {
    address: string;
    folder: string;
    storage: LogStorage;
    metrics: Metrics;
    log: ReplicatedLog & ConsensusHandlers;
    /** Starts the member's log. */
    start(options: Partial<ReplicatedLogOptions>): void;
    /** Gets the member's parts, in the order in which they are stopped. */
    getParts(): readonly Stoppable[];
    /** Stops the member; its folder is kept where asked for. */
    stop(isFolderKept?: boolean): Promise<void>;
}

const logger = createSilentLogger();

/** A state of a fixed number of values, each set by a command; as large as a configuration of many workspaces. */
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

/** Opens a member's folder and listens. */
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
            handleSnapshotPart: async part => log?.handleSnapshotPart(part),
            handleJoin: async request => log?.handleJoin(request),
            handleReadIndex: async request => log?.handleReadIndex(request),
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
