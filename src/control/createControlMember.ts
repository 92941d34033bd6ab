/*
 * Assembles a control member: its log storage, its replicated log, the replicated state, and the services for other
 * processes.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { createIncarnation } from "../membership";
import { Command, InForceOutcome, QueryKind, WaitInForceRequestSchema } from "../protocol";
import { createConfigurationPart } from "./configuration";
import { addConsensusService, createConnectPeers, createReplicatedLog } from "./consensus";
import { ControlMember } from "./ControlMember";
import { ControlMemberOptions } from "./ControlMemberOptions";
import { ControlMemberStartOutcome } from "./ControlMemberStartOutcome";
import { createControlClient } from "./createControlClient";
import { createControlState } from "./createControlState";
import { createEventsPart } from "./createEventsPart";
import { ControlPeers } from "./distribution";
import {
    addControlService,
    createCommandExecutor,
    createControlPeers,
    createDistribution,
    createQueryHandler,
    createSidecarSetPart,
    InForceCheck,
} from "./distribution";
import { startInitialConfigurationImport } from "./startInitialConfigurationImport";
import { LogStorage, openLogStorage } from "./storage";

/**
 * Opens the log storage and starts the member.
 * @param options - The member's settings, its data folder and the parts of its state.
 * @returns The started member, or the reason for which the log storage can't be opened.
 */
export async function createControlMember(options: ControlMemberOptions): Promise<ControlMemberStartOutcome> {
    const { dataFolder, logger, metrics } = options;
    const outcome = await openLogStorage({ folder: dataFolder, logger, metrics });
    if (outcome.kind !== "opened") {
        return { kind: "failed", reason: outcome.reason };
    }
    return { kind: "started", member: startMember(options, outcome.storage) };
}

function startMember(options: ControlMemberOptions, storage: LogStorage): ControlMember {
    const { control, address, transports, clock, random, logger, metrics } = options;
    const hasFormerRun = storage.getLastIndex() > 0n || storage.getSnapshot() !== undefined;
    const startsGroup = control.bootstrap === true && !hasFormerRun;
    const configuration = createConfigurationPart();
    const sidecarSet = createSidecarSetPart();
    const state = createControlState([
        configuration,
        sidecarSet,
        ...options.parts,
        createEventsPart([configuration, ...options.eventSources ?? []]),
    ]);
    const log = createReplicatedLog({
        group: control.group,
        address,
        storage,
        peers: createConnectPeers(transports),
        stateMachine: state,
        join: { addresses: control.members, startsGroup: control.bootstrap === true },
        timing: options.timing,
        clock,
        random,
        logger,
        metrics,
    });
    const peers = createControlPeers(transports);
    const executor = createCommandExecutor(log, peers);
    const client = createControlClient({ members: [address], peers: createLocalPeers(), clock, random });
    const distribution = createDistribution({
        identity: {
            group: control.group,
            memberId: storage.memberId,
            address,
            incarnation: createIncarnation(clock, random),
        },
        log,
        configuration,
        sidecarSet,
        peers,
        propose: (command: Command) => client.execute(command),
        hasFormerRun,
        startsGroup,
        getInitialEvents: options.getInitialEvents,
        platformList: options.platformList,
        clock,
        logger,
        metrics,
    });
    const queryHandler = createQueryHandler(log, peers, queryLocalState);
    const initialConfigurationImport = startInitialConfigurationImport({
        file: control.initialConfigurationFile,
        leadership: distribution.leadership,
        configuration,
        client,
        clock,
        logger,
    });
    return { log, state, configuration, distribution, client, addServices, waitInForce, stop };

    function addServices(router: ConnectRouter): void {
        addConsensusService(router, log);
        addControlService(router, { distribution, executor, queries: queryHandler });
    }

    /** Answers a query from this member's log status, its directory or its replicated state. */
    function queryLocalState(kind: QueryKind, argument: string): unknown {
        switch (kind) {
            case QueryKind.STATUS:
                return log.getStatus();
            case QueryKind.DIRECTORY:
                return distribution.getInstances();
            default:
                return state.query(kind, argument);
        }
    }

    /**
     * Creates calls that handle requests to this member in-process, where the handlers forward them to the leader, and
     * send requests to other members over the network.
     */
    function createLocalPeers(): Pick<ControlPeers, "execute" | "query"> {
        return {
            execute: async (memberAddress, request) =>
                memberAddress === address
                    ? { kind: "answered", response: await executor.execute(request) }
                    : peers.execute(memberAddress, request),
            query: async (memberAddress, request) =>
                memberAddress === address
                    ? { kind: "answered", response: await queryHandler.handle(request) }
                    : peers.query(memberAddress, request),
        };
    }

    async function waitInForce(revision: bigint, timeoutMilliseconds: number): Promise<InForceCheck> {
        const { leaderAddress } = log.getStatus();
        if (leaderAddress === undefined || leaderAddress === address) {
            return distribution.waitInForce(revision, timeoutMilliseconds);
        }
        const request = create(WaitInForceRequestSchema, {
            configurationRevision: revision,
            waitMilliseconds: timeoutMilliseconds,
        });
        const outcome = await peers.waitInForce(leaderAddress, request);
        if (outcome.kind !== "answered") {
            return { kind: "noLeader" };
        }
        switch (outcome.response.outcome) {
            case InForceOutcome.IN_FORCE:
                return { kind: "inForce" };
            case InForceOutcome.PENDING:
                return { kind: "pending", waitingFor: outcome.response.waitingFor };
            case InForceOutcome.NO_LEADER:
            case InForceOutcome.UNSPECIFIED:
                return { kind: "noLeader" };
        }
    }

    /**
     * Ends the sessions so that processes connect to other members, waits for pending commands, stops the log, and then
     * reports the leases that may still run to the next leader.
     */
    async function stop(): Promise<void> {
        await initialConfigurationImport.stop();
        await distribution.stop();
        await executor.drain();
        await log.stop();
        await distribution.announceShutdown();
        await storage.stop();
    }
}
