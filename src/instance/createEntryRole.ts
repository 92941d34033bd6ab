/*
 * Assembles an entry process: membership, placement, quarantine, limits and the listener for callers.
 */
import { Entry, startEntry } from "../entry";
import { createQuarantineView } from "../entry/quarantine";
import { createInvariantError } from "../errors";
import { ProcessRole, ProcessState } from "../protocol";
import { createPlacement } from "../routing";
import { Role } from "../settings";
import { createEntryLimits } from "./createEntryLimits";
import { createRoleControlClient } from "./createRoleControlClient";
import { createRoleMembership } from "./createRoleMembership";
import { getRoleInstanceId } from "./getRoleInstanceId";
import { InstanceContext } from "./InstanceContext";
import { InstanceRole } from "./InstanceRole";

/** The entry role, the only role that callers connect to. */
interface EntryRole extends InstanceRole {
    /** Gets the address that callers connect to, as `ip:port`; empty before the start. */
    getCallersAddress(): string;
}

/**
 * Creates the entry role of a process.
 * @param context - The shared dependencies of the process's roles.
 */
export function createEntryRole(context: InstanceContext): EntryRole {
    const { clock, logger, metrics, random, settings, transports } = context;
    const { configuration, membership } = createRoleMembership(context, {
        instanceId: getRoleInstanceId(settings, Role.Entry),
        role: ProcessRole.ENTRY,
    });
    const { authority, directory, session } = membership;
    const quarantine = createQuarantineView();
    session.addListener({ handleQuarantineUpdate: quarantine.applyUpdate });
    const limits = createEntryLimits(session, clock);
    let entry: Entry | undefined;
    return { addServices: () => {}, start, isReady, getStatus, getCallersAddress, drain, stop };

    async function start(internalAddress: string): Promise<void> {
        const listener = settings.listeners.callers;
        if (listener === undefined) {
            throw createInvariantError("The settings of an entry process have no listener for callers");
        }
        session.updateOwnRecord({ address: internalAddress });
        entry = await startEntry({
            listener,
            identity: context.identities.callers,
            settings: settings.entry,
            routing: settings.routing,
            configuration,
            directory,
            authority,
            placement: createPlacement({ clock, random, dataCentre: settings.dataCentre }),
            transports,
            control: createRoleControlClient(context),
            quarantine,
            limiter: limits.limiter,
            clock,
            random,
            logger,
            metrics,
        });
        session.setState(ProcessState.READY);
    }

    function isReady(): boolean {
        return entry?.isReady() ?? false;
    }

    function getCallersAddress(): string {
        return entry?.address ?? "";
    }

    function getStatus(): Readonly<Record<string, unknown>> {
        return {
            configurationRevision: String(configuration.getRevision()),
            isLeaseFresh: authority.isLeaseFresh(),
            isConnected: session.isConnected(),
            requestsInFlight: entry?.getRequestsInFlight() ?? 0,
        };
    }

    async function drain(): Promise<void> {
        session.setState(ProcessState.LEAVING);
        await entry?.stop();
    }

    async function stop(): Promise<void> {
        await limits.stop();
        await membership.stop();
    }
}
