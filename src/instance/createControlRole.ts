/*
 * Assembles a control member: the replicated log with the parts of its state, rollout planning and the interface for
 * operators.
 */
import { createPlatformListClient } from "../backends";
import { ControlMember, createControlMember } from "../control";
import { createClaimsPart, createQuarantinePart, QuarantinePart } from "../control/claims";
import { ConsensusRole } from "../control/consensus";
import { OperatorServer, startOperatorServer } from "../control/operators";
import { createRolloutPart, startRolloutPlanning } from "../control/placement";
import { createInvariantError } from "../errors";
import { createQuarantineEvent } from "./createQuarantineEvent";
import { InstanceContext } from "./InstanceContext";
import { InstanceRole } from "./InstanceRole";
import { startQuarantineFeed } from "./startQuarantineFeed";
import { startQuotaOwner } from "./startQuotaOwner";

/** A control member's role, the only role that operators connect to. */
interface ControlRole extends InstanceRole {
    /** Gets the address that operators connect to; undefined before the start and without a listener for them. */
    getOperatorsAddress(): string | undefined;
}

/** The role, or why the control member can't start. */
type ControlRoleOutcome = { kind: "created"; role: ControlRole; } | { kind: "failed"; reason: string; };

/**
 * Opens the data folder and creates the control member of a process.
 * @param context - The shared dependencies of the process's roles.
 */
export async function createControlRole(context: InstanceContext): Promise<ControlRoleOutcome> {
    const { clock, logger, metrics, random, settings, transports } = context;
    const { control, dataFolder } = settings;
    if (dataFolder === undefined) {
        throw createInvariantError("The settings of a control member have no data folder");
    }
    const { address, port } = settings.listeners.internal;
    const rollouts = createRolloutPart();
    const quarantine = createQuarantinePart();
    const claims = createClaimsPart();
    const platformList = control.platformAddress === undefined
        ? undefined
        : createPlatformListClient({ address: control.platformAddress });
    const outcome = await createControlMember({
        control,
        address: `${address}:${port}`,
        dataFolder,
        parts: [claims, quarantine, rollouts],
        eventSources: [claims, quarantine, rollouts],
        transports,
        getInitialEvents: () => [createQuarantineEvent(quarantine, true)],
        platformList,
        clock,
        random,
        logger,
        metrics,
    });
    return outcome.kind === "failed"
        ? outcome
        : {
            kind: "created",
            role: createRole(context, outcome.member, quarantine, rollouts, () => platformList?.stop()),
        };
}

/** Creates the role of a control member that has started. */
function createRole(
    context: InstanceContext,
    member: ControlMember,
    quarantine: QuarantinePart,
    rollouts: ReturnType<typeof createRolloutPart>,
    stopPlatformList: () => Promise<void> | undefined,
): ControlRole {
    const { clock, logger, settings } = context;
    const { client, configuration, distribution, log } = member;
    const planning = startRolloutPlanning({ rollouts, configuration, distribution, client, clock, logger });
    const quarantineFeed = startQuarantineFeed({ quarantine, distribution, clock });
    const stopQuotaOwner = startQuotaOwner({ configuration, distribution, clock });
    let operatorServer: OperatorServer | undefined;
    return {
        addServices: member.addServices,
        start,
        isReady: () => log.getStatus().leaderAddress !== undefined,
        getStatus,
        getOperatorsAddress: () => operatorServer?.address,
        drain,
        stop,
    };

    async function start(): Promise<void> {
        const listener = settings.listeners.operators;
        if (listener === undefined) {
            return;
        }
        operatorServer = await startOperatorServer({
            listener,
            identity: context.identities.operators,
            operators: settings.control.operators ?? [],
            client,
            operations: { waitInForce: member.waitInForce },
            clock,
            logger,
        });
    }

    function getStatus(): Readonly<Record<string, unknown>> {
        const { commitIndex, leaderAddress, role, term } = log.getStatus();
        return {
            role,
            term: String(term),
            commitIndex: String(commitIndex),
            leaderAddress,
            isStopped: role === ConsensusRole.Stopped,
            configurationRevision: String(configuration.getRevision()),
        };
    }

    async function drain(): Promise<void> {
        await operatorServer?.stop();
        await planning.stop();
        await quarantineFeed.stop();
        await member.stop();
    }

    async function stop(): Promise<void> {
        stopQuotaOwner();
        await stopPlatformList();
    }
}
